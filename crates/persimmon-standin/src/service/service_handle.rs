//! Starts a plain service's listener and control page.

use super::{executions::Executions, ServiceCounters, ServiceSettings};
use crate::{
    faults::{Fault, Faults},
    host::{Host, Standin},
    http::{header, read_body, respond_error, respond_json},
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

/// A running service, which stops on drop.
pub struct ServiceHandle {
    host: Host<Shared>,
}

struct Shared {
    settings: ServiceSettings,
    executions: Mutex<Executions>,
    clock: Clock,
    faults: Faults,
    dead: AtomicBool,
}

impl Shared {
    fn executions(&self) -> MutexGuard<'_, Executions> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }
}

impl Standin for Shared {
    type Counters = ServiceCounters;

    fn serve(self: &Arc<Self>, request: Request) {
        serve(self, request);
    }

    fn counters(&self) -> ServiceCounters {
        self.executions().counters.clone()
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
    }

    fn restart(&self) {
        let mut executions = self.executions();
        executions.incarnation = executions.incarnation.next();
        drop(executions);
        self.dead.store(false, Ordering::Relaxed);
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
        let executions = Executions::new(
            process_incarnation(),
            settings.max_in_flight_requests,
            settings.load_lag_ms,
        );
        let shared = Arc::new(Shared {
            settings,
            executions: Mutex::new(executions),
            clock: Clock::start(),
            faults: Faults::default(),
            dead: AtomicBool::new(false),
        });
        let host = Host::start(address, control_address, shared)?;
        Ok(ServiceHandle { host })
    }
}

impl ServiceHandle {
    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Address of the control page.
    pub fn control_address(&self) -> SocketAddr {
        self.host.control_address()
    }

    /// Returns the current counters.
    pub fn counters(&self) -> ServiceCounters {
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

    /// Stops the service and closes its ports.
    pub fn stop(&mut self) {
        self.host.stop();
    }
}

impl Drop for ServiceHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(shared: &Shared, request: Request) {
    if !shared.faults.delay_answer(|| shared.is_dead()) {
        drop(request.into_writer());
        return;
    }
    match (request.method(), request.url()) {
        (Method::Get, "/control/load") => {
            let report = shared.executions().report(shared.clock.now());
            respond_json(request, &report);
        }
        _ => execute(shared, request),
    }
}

fn execute(shared: &Shared, mut request: Request) {
    let body = read_body(&mut request);
    let key = header(&request, "Idempotency-Key").map(str::to_owned);
    let call = format!("{} {}", request.method(), request.url());
    let started = shared
        .executions()
        .start(shared.clock.now(), call.clone(), key.clone());
    let Some(run_count) = started else {
        respond_error(request, 503, "overloaded", "not_run");
        return;
    };
    thread::sleep(shared.settings.work_ms.duration());
    shared.executions().finish(shared.clock.now());
    if shared.is_dead() || shared.faults.take_lost_answer() {
        drop(request.into_writer());
        return;
    }
    let answer = json!({"call": call, "key": key, "run": run_count, "body_len": body.len()});
    respond_json(request, &answer);
}
