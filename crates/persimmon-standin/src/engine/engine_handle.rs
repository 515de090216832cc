//! Starts an engine's batch thread, listener and control page.

use super::{batch::Batch, serve::Shared, EngineCounters, EngineSettings};
use crate::{
    faults::Fault,
    host::{Host, Standin},
    lagged::{process_incarnation, Clock},
    StandinError,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

/// Interval between two steps of the batch.
const STEP: Duration = Duration::from_millis(5);

/// Starts engines.
#[derive(Clone, Copy, Debug)]
pub struct Engine;

/// A running engine, which stops on drop.
pub struct EngineHandle {
    host: Host<Shared>,
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
        let host = Host::start(address, control_address, Arc::clone(&shared))?;
        let batch_thread = thread::spawn(move || run_batch(&shared));
        Ok(EngineHandle {
            host,
            batch_thread: Some(batch_thread),
        })
    }
}

impl EngineHandle {
    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Address of the control page.
    pub fn control_address(&self) -> SocketAddr {
        self.host.control_address()
    }

    /// Returns the current counters.
    pub fn counters(&self) -> EngineCounters {
        self.host.standin().counters()
    }

    /// Injects a fault, as the control page does.
    ///
    /// # Errors
    ///
    /// The address can't be bound again on [`Fault::Revive`].
    pub fn inject(&self, fault: &Fault) -> Result<(), StandinError> {
        self.host.inject(fault)
    }

    /// Stops the engine and closes its connections and ports.
    pub fn stop(&mut self) {
        self.host.standin().stop();
        self.host.stop();
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

fn run_batch(shared: &Shared) {
    while !shared.is_stopped() {
        thread::sleep(STEP);
        let faults = shared.faults().current();
        let rate_ratio = match faults.hung {
            true => 0.0,
            false => faults.rate_ratio,
        };
        shared.batch().step(shared.now(), rate_ratio);
    }
    shared.batch().restart(shared.now());
}
