//! Joins the control thread and the traffic threads.

use super::{Command, IdSource};
use crate::upstream::UpstreamClient;
use flume::{Receiver, Sender};
use persimmon_core::{ids::RequestId, Event};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Whether the daemon takes requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Readiness {
    /// Whether it does.
    pub ready: bool,
    /// Why not, or what is degraded.
    pub notes: Vec<String>,
}

/// Joins the control thread and the traffic threads of one daemon.
#[derive(Debug)]
pub struct TrafficHub {
    events: Sender<Event>,
    upstream: Arc<dyn UpstreamClient>,
    open: Mutex<BTreeMap<RequestId, Sender<Command>>>,
    readiness: Mutex<Readiness>,
    ids: IdSource,
}

impl TrafficHub {
    /// Sends events to the control thread and attempts to upstreams.
    pub fn new(events: Sender<Event>, upstream: Arc<dyn UpstreamClient>) -> Self {
        Self {
            events,
            upstream,
            open: Mutex::default(),
            readiness: Mutex::default(),
            ids: IdSource::default(),
        }
    }

    /// Passes a command on to the request's thread. False where the request is not open.
    pub fn send_command(&self, request: RequestId, command: Command) -> bool {
        let target = lock(&self.open).get(&request).cloned();
        target.is_some_and(|target| target.send(command).is_ok())
    }

    /// Ends all open requests without a last word from the core: their channels close.
    pub fn close_all(&self) {
        lock(&self.open).clear();
    }

    /// Requests that are open.
    pub fn open_count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Sets what `/readyz` says.
    pub fn set_readiness(&self, readiness: Readiness) {
        *lock(&self.readiness) = readiness;
    }

    /// What `/readyz` says.
    pub fn readiness(&self) -> Readiness {
        lock(&self.readiness).clone()
    }

    /// A fresh request id.
    pub fn next_id(&self) -> RequestId {
        self.ids.next_id()
    }

    /// Sends an event. False where the control thread has ended.
    pub(crate) fn send_event(&self, event: Event) -> bool {
        self.events.send(event).is_ok()
    }

    /// Opens a request: the core's commands for it arrive at the receiver.
    pub(crate) fn open(&self, request: RequestId) -> Receiver<Command> {
        let (sender, receiver) = flume::unbounded();
        lock(&self.open).insert(request, sender);
        receiver
    }

    /// Closes a request.
    pub(crate) fn close_request(&self, request: RequestId) {
        lock(&self.open).remove(&request);
    }

    /// The client for upstreams.
    pub(crate) fn upstream(&self) -> &Arc<dyn UpstreamClient> {
        &self.upstream
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
