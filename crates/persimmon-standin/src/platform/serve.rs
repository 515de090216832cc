//! HTTP routes of the platform.

use super::{store::Store, PlatformCounters};
use crate::{
    faults::{Fault, Faults},
    host::Standin,
    http::{read_body, respond_error, respond_json, respond_status},
    lagged::Clock,
};
use persimmon_core::{platform::TableAnswer, units::Time};
use serde::{de::DeserializeOwned, Deserialize};
use serde_json::json;
use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc, Mutex, MutexGuard, PoisonError,
};
use tiny_http::{Method, Request};

/// State that the platform's threads share.
pub(crate) struct Shared {
    store: Mutex<Store>,
    clock: Clock,
    pub(crate) faults: Faults,
    dead: AtomicBool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WeightsBody {
    bytes: u64,
}

impl Shared {
    pub(crate) fn new(store: Store) -> Self {
        Self {
            store: Mutex::new(store),
            clock: Clock::start(),
            faults: Faults::default(),
            dead: AtomicBool::new(false),
        }
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }
}

impl Standin for Shared {
    type Counters = PlatformCounters;

    fn serve(self: &Arc<Self>, request: Request) {
        serve(self, request);
    }

    fn counters(&self) -> PlatformCounters {
        self.store().counters()
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
    }

    fn restart(&self) {
        self.dead.store(false, Ordering::Relaxed);
    }

    fn inject_specific(&self, fault: &Fault) {
        match fault {
            Fault::KeepCopy => self.store().keep_copy(),
            Fault::RestoreCopy => self.store().restore_copy(),
            fault => self.faults.apply(fault),
        }
    }

    fn serve_control(&self, request: Request) {
        set_vms(self, request);
    }
}

fn set_vms(shared: &Shared, mut request: Request) {
    if (request.method(), request.url()) != (&Method::Post, "/vms") {
        return respond_error(request, 404, "no_such_call", "not_run");
    }
    let body = read_body(&mut request);
    match serde_json::from_slice(&body) {
        Err(error) => respond_error(request, 400, &error.to_string(), "not_run"),
        Ok(vms) => {
            shared.store().set_vms(shared.now(), vms);
            respond_json(request, &json!({}));
        }
    }
}

/// Serves a request on the traffic address.
fn serve(shared: &Shared, request: Request) {
    if !shared.faults.delay_answer(|| shared.is_dead()) {
        drop(request.into_writer());
        return;
    }
    if shared.faults.current().store_down {
        shared.store().counters.refused_count += 1;
        respond_error(request, 503, "store_down", "not_run");
        return;
    }
    match (request.method(), request.url()) {
        (Method::Post, "/table") => serve_store(shared, request, Store::table),
        (Method::Post, "/objects") => serve_store(shared, request, Store::object),
        (Method::Post, "/weights/take") => serve_weights(shared, request),
        (Method::Get, "/vms") => {
            let vms = shared.store().vms(shared.now());
            respond_json(request, &vms);
        }
        _ => respond_error(request, 404, "no_such_call", "not_run"),
    }
}

fn serve_store<O: DeserializeOwned>(
    shared: &Shared,
    mut request: Request,
    call: fn(&mut Store, Time, O) -> Option<TableAnswer>,
) {
    let body = read_body(&mut request);
    let op = match serde_json::from_slice(&body) {
        Ok(op) => op,
        Err(error) => return respond_error(request, 400, &error.to_string(), "not_run"),
    };
    let Some(answer) = call(&mut shared.store(), shared.now(), op) else {
        return respond_error(request, 503, "rate_limited", "not_run");
    };
    if shared.faults.take_lost_answer() {
        drop(request.into_writer());
        return;
    }
    respond_json(request, &answer);
}

fn serve_weights(shared: &Shared, mut request: Request) {
    let body = read_body(&mut request);
    let Ok(WeightsBody { bytes }) = serde_json::from_slice(&body) else {
        return respond_error(request, 400, "malformed", "not_run");
    };
    let taken = shared.store().take_weights(shared.now(), bytes);
    match taken {
        Ok(()) => respond_json(request, &json!({})),
        Err(wait) => respond_status(request, 429, &json!({"retry_after_ms": wait})),
    }
}
