//! Starts a plain service: its listener and its control page.

use super::{runs::Runs, ServiceSettings};
use crate::{
    faults::{Fault, Faults},
    http::{header, read_body, respond_error, respond_json, Control, Listener, Slot},
    lagged::{process_incarnation, Clock},
    StandinError,
};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thread,
};
use tiny_http::{Method, Request};

/// Starts plain services.
#[derive(Clone, Copy, Debug)]
pub struct Service;

/// A running service; it stops when it is dropped.
pub struct ServiceHandle {
    address: SocketAddr,
    control: Listener,
    shared: Arc<Shared>,
    traffic: Arc<Slot>,
}

struct Shared {
    settings: ServiceSettings,
    runs: Mutex<Runs>,
    clock: Clock,
    faults: Faults,
    dead: AtomicBool,
}

impl Shared {
    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn gone(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub fn start(settings: ServiceSettings) -> Result<ServiceHandle, StandinError> {
        let (address, control_address) = (settings.address, settings.control_address);
        let runs = Runs::new(
            process_incarnation(),
            settings.max_in_flight_requests,
            settings.load_lag_ms,
        );
        let shared = Arc::new(Shared {
            settings,
            runs: Mutex::new(runs),
            clock: Clock::start(),
            faults: Faults::default(),
            dead: AtomicBool::new(false),
        });
        let listener = listen(address, &shared)?;
        let address = listener.address();
        let traffic = Arc::new(Slot::new(listener));
        let control = control(control_address, address, &shared, &traffic)?;
        Ok(ServiceHandle {
            address,
            control,
            shared,
            traffic,
        })
    }
}

impl ServiceHandle {
    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where its control page listens.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops it: its ports close.
    pub fn stop(&mut self) {
        self.shared.dead.store(true, Ordering::Relaxed);
        self.traffic.close();
        self.control.stop();
    }
}

impl Drop for ServiceHandle {
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
        counters: move || counted.runs().counters.clone(),
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
            shared.dead.store(true, Ordering::Relaxed);
            traffic.close();
        }
        Fault::Revive => {
            traffic.close();
            let mut runs = shared.runs();
            runs.incarnation = runs.incarnation.next();
            drop(runs);
            shared.dead.store(false, Ordering::Relaxed);
            traffic.open(listen(address, shared)?);
        }
        fault => shared.faults.switch(fault),
    }
    Ok(())
}

fn serve(shared: &Shared, request: Request) {
    if !shared.faults.pass(|| shared.gone()) {
        drop(request.into_writer());
        return;
    }
    match (request.method(), request.url()) {
        (Method::Get, "/control/load") => {
            let report = shared.runs().report(shared.clock.now());
            respond_json(request, &report);
        }
        _ => run(shared, request),
    }
}

fn run(shared: &Shared, mut request: Request) {
    let body = read_body(&mut request);
    let key = header(&request, "Idempotency-Key").map(str::to_owned);
    let call = format!("{} {}", request.method(), request.url());
    let begun = shared
        .runs()
        .begin(shared.clock.now(), call.clone(), key.clone());
    let Some(run_count) = begun else {
        respond_error(request, 503, "overloaded", "not_run");
        return;
    };
    thread::sleep(shared.settings.work_ms.duration());
    shared.runs().end(shared.clock.now());
    if shared.gone() || shared.faults.lose_answer() {
        drop(request.into_writer());
        return;
    }
    let answer = json!({"call": call, "key": key, "run": run_count, "body_len": body.len()});
    respond_json(request, &answer);
}
