//! Starts an engine: its batch thread, its listener and its control page.

use super::{
    batch::Batch,
    serve::{serve, Shared},
    EngineSettings,
};
use crate::{
    faults::Fault,
    http::{respond_error, Control, Listener, Slot},
    lagged::{process_incarnation, Clock},
    StandinError,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

/// Length of one step of the batch.
const STEP: Duration = Duration::from_millis(5);

/// Starts engines.
#[derive(Clone, Copy, Debug)]
pub struct Engine;

/// A running engine; it stops when it is dropped.
pub struct EngineHandle {
    address: SocketAddr,
    control: Listener,
    shared: Arc<Shared>,
    traffic: Arc<Slot>,
    batch_thread: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub fn start(settings: EngineSettings) -> Result<EngineHandle, StandinError> {
        let clock = Clock::start();
        let (address, control_address) = (settings.address, settings.control_address);
        let batch = Batch::new(settings, process_incarnation(), clock.now());
        let shared = Arc::new(Shared::new(batch, clock));
        let listener = listen(address, &shared)?;
        let address = listener.address();
        let traffic = Arc::new(Slot::new(listener));
        let control = control(control_address, address, &shared, &traffic)?;
        let stepping = shared.clone();
        let batch_thread = thread::spawn(move || run_batch(&stepping));
        Ok(EngineHandle {
            address,
            control,
            shared,
            traffic,
            batch_thread: Some(batch_thread),
        })
    }
}

impl EngineHandle {
    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where its control page listens.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops it: its connections are cut and its ports close.
    pub fn stop(&mut self) {
        self.shared.stop();
        self.traffic.close();
        self.control.stop();
        if let Some(thread) = self.batch_thread.take() {
            // A panic of the batch thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

fn listen(address: SocketAddr, shared: &Arc<Shared>) -> Result<Listener, StandinError> {
    let shared = shared.clone();
    Listener::start(address, move |request| serve(&shared, request))
}

fn control(
    control_address: SocketAddr,
    address: SocketAddr,
    shared: &Arc<Shared>,
    traffic: &Arc<Slot>,
) -> Result<Listener, StandinError> {
    let (counted, switched, traffic) = (shared.clone(), shared.clone(), traffic.clone());
    let page = Control {
        counters: move || counted.batch().counters(),
        switch: move |fault: &Fault| switch(fault, address, &switched, &traffic),
    };
    Listener::start(control_address, move |request| {
        if let Some(request) = page.serve(request) {
            respond_error(request, 404, "no_such_call", "not_run");
        }
    })
}

fn switch(
    fault: &Fault,
    address: SocketAddr,
    shared: &Arc<Shared>,
    traffic: &Slot,
) -> Result<(), StandinError> {
    match fault {
        Fault::Die => {
            shared.set_dead(true);
            shared.batch().restart(shared.now());
            traffic.close();
        }
        Fault::Revive => {
            traffic.close();
            shared.batch().restart(shared.now());
            shared.set_dead(false);
            traffic.open(listen(address, shared)?);
        }
        Fault::GoCold => shared.batch().turn_cold(),
        fault => shared.faults.switch(fault),
    }
    Ok(())
}

fn run_batch(shared: &Shared) {
    while !shared.stopped() {
        thread::sleep(STEP);
        let faults = shared.faults.now();
        let rate_ratio = match faults.hung {
            true => 0.0,
            false => faults.rate_ratio,
        };
        shared.batch().step(shared.now(), rate_ratio);
    }
    shared.batch().restart(shared.now());
}
