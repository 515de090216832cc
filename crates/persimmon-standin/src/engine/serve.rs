//! HTTP routes of an engine, and the state that its threads share.

use super::{
    batch::Batch,
    completion::complete,
    errors::CallRefusal,
    orders::{execute_order, OrderBody},
    EngineCounters,
};
use crate::{
    faults::{Fault, Faults},
    host::Standin,
    http::{query, read_body, respond_error, respond_json},
    lagged::Clock,
};
use persimmon_core::units::{Time, Tokens};
use serde_json::json;
use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc, Mutex, MutexGuard, PoisonError,
};
use tiny_http::{Method, Request, Response};

/// State that the threads of one engine share.
#[derive(Debug)]
pub(crate) struct Shared {
    batch: Mutex<Batch>,
    clock: Clock,
    pub(crate) faults: Faults,
    dead: AtomicBool,
    stopped: AtomicBool,
}

impl Shared {
    pub(crate) fn new(batch: Batch, clock: Clock) -> Self {
        Self {
            batch: Mutex::new(batch),
            clock,
            faults: Faults::default(),
            dead: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits while the engine hangs or is slow. Returns false if the engine is dead.
    pub(crate) fn delay_answer(&self) -> bool {
        self.faults.delay_answer(|| self.is_dead())
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.is_stopped() || self.dead.load(Ordering::Relaxed)
    }
}

impl Standin for Shared {
    type Counters = EngineCounters;

    fn serve(self: &Arc<Self>, request: Request) {
        serve(self, request);
    }

    fn counters(&self) -> EngineCounters {
        self.batch().counters()
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
        self.batch().restart(self.now());
    }

    fn restart(&self) {
        self.batch().restart(self.now());
        self.dead.store(false, Ordering::Relaxed);
    }

    fn inject_specific(&self, fault: &Fault) {
        match fault {
            Fault::GoCold => self.batch().turn_cold(),
            fault => self.faults.apply(fault),
        }
    }
}

/// Serves a request on the traffic address.
fn serve(shared: &Arc<Shared>, request: Request) {
    let down = shared.batch().is_down(shared.now());
    if down || !shared.delay_answer() {
        drop(request.into_writer());
        return;
    }
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    match (request.method(), path) {
        (Method::Post, "/v1/completions") => complete(shared, request),
        (Method::Post, "/control/orders") => serve_order(shared, request),
        (Method::Get, "/control/load") => {
            let report = shared.batch().report(shared.now());
            respond_json(request, &report);
        }
        (Method::Get, "/control/cache") => {
            let from = query(&url, "from").and_then(|from| from.parse().ok());
            let batch = shared.batch().cache(shared.now(), from);
            respond_json(request, &batch);
        }
        (Method::Get, path) if path.starts_with("/control/kv/") => {
            serve_kv(shared, request, &url, &path["/control/kv/".len()..]);
        }
        _ => respond_error(request, 404, "no_such_call", "not_run"),
    }
}

fn serve_order(shared: &Arc<Shared>, mut request: Request) {
    let body = read_body(&mut request);
    let Ok(order) = serde_json::from_slice::<OrderBody>(&body) else {
        respond_error(request, 400, "malformed", "not_run");
        return;
    };
    let answer = execute_order(shared, order);
    if shared.faults.take_lost_answer() {
        drop(request.into_writer());
        return;
    }
    match answer {
        Ok(()) => respond_json(request, &json!({})),
        Err(refused) => refuse(request, refused),
    }
}

fn serve_kv(shared: &Shared, request: Request, url: &str, id: &str) {
    let tokens = |name| query(url, name).and_then(|text| text.parse().ok());
    let (Ok(id), Some(from), Some(to)) = (id.parse(), tokens("from"), tokens("to")) else {
        respond_error(request, 400, "malformed", "not_run");
        return;
    };
    let exported = shared
        .batch()
        .export(id, Tokens::new(from), Tokens::new(to));
    match exported {
        // A write error means that the caller disconnected.
        Ok(kv) => drop(request.respond(Response::from_data(kv))),
        Err(refused) => refuse(request, refused),
    }
}

/// Answers a refused call, of which nothing ran.
pub(crate) fn refuse(request: Request, refused: CallRefusal) {
    let status = match refused {
        CallRefusal::Fenced | CallRefusal::OldAttempt => 409,
        CallRefusal::UnknownStream => 404,
        _ => 503,
    };
    let outcome = match refused {
        CallRefusal::OldAttempt => "unknown",
        _ => "not_run",
    };
    respond_error(request, status, &refused.to_string(), outcome);
}
