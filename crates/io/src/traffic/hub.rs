//! Connects the control thread with the traffic threads.

use super::{Command, IdSource};
use crate::upstream::UpstreamClient;
use flume::{Receiver, Sender};
use persimmon_core::{ids::RequestId, Event};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Whether the daemon accepts requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Readiness {
    /// Whether it accepts requests.
    pub ready: bool,
    /// Why it does not, or what is degraded.
    pub notes: Vec<String>,
}

/// Registry of open requests: carries commands to their threads and events to the control thread.
#[derive(Debug)]
pub struct TrafficHub {
    events: Sender<Event>,
    upstream: Arc<dyn UpstreamClient>,
    open: Mutex<BTreeMap<RequestId, Sender<Command>>>,
    readiness: Mutex<Readiness>,
    ids: IdSource,
}

impl TrafficHub {
    /// Creates a hub that sends events to `events`; attempts use the client `upstream`.
    pub fn new(events: Sender<Event>, upstream: Arc<dyn UpstreamClient>) -> Self {
        Self {
            events,
            upstream,
            open: Mutex::default(),
            readiness: Mutex::default(),
            ids: IdSource::default(),
        }
    }

    /// Sends a command to a request's thread. Returns false if the request is not open.
    pub fn send_command(&self, request: RequestId, command: Command) -> bool {
        let target = lock(&self.open).get(&request).cloned();
        target.is_some_and(|target| target.send(command).is_ok())
    }

    /// Ends all open requests without a final response from the core, by closing their command
    /// channels.
    pub fn close_all(&self) {
        lock(&self.open).clear();
    }

    /// Number of open requests.
    pub fn open_count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Sets the state that `/readyz` reports.
    pub fn set_readiness(&self, readiness: Readiness) {
        *lock(&self.readiness) = readiness;
    }

    /// The state that `/readyz` reports.
    pub fn readiness(&self) -> Readiness {
        lock(&self.readiness).clone()
    }

    /// Generates a new request id.
    pub fn next_id(&self) -> RequestId {
        self.ids.next_id()
    }

    /// Sends an event to the control thread. Returns false if that thread has ended.
    pub(crate) fn send_event(&self, event: Event) -> bool {
        self.events.send(event).is_ok()
    }

    /// Registers a request. Returns the channel on which the core's commands for it arrive.
    pub(crate) fn open(&self, request: RequestId) -> Receiver<Command> {
        let (sender, receiver) = flume::unbounded();
        lock(&self.open).insert(request, sender);
        receiver
    }

    /// Removes a request; later commands for it are rejected.
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
