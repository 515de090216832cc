//! Operators' commands that wait for a reply of the control thread.

use flume::{Receiver, Sender};
use persimmon_core::{
    ids::OperatorName,
    operator::{OperatorCommand, OperatorReply},
    platform::{CallToken, Component},
    Event,
};
use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Mutex, MutexGuard, PoisonError,
    },
    time::{SystemTime, UNIX_EPOCH},
};

/// Sends operators' commands to the control thread and routes each reply to the call that waits
/// for it.
#[derive(Debug)]
pub struct OperatorCalls {
    events: Sender<Event>,
    pending: Mutex<BTreeMap<CallToken, Sender<OperatorReply>>>,
    next_index: AtomicU64,
}

impl OperatorCalls {
    /// No pending calls. `events` leads to the control thread.
    pub fn new(events: Sender<Event>) -> Self {
        Self {
            events,
            pending: Mutex::default(),
            next_index: AtomicU64::new(0),
        }
    }

    /// Passes a reply to the pending call `call`. Returns false if that call no longer waits.
    pub fn reply(&self, call: CallToken, reply: OperatorReply) -> bool {
        let sender = self.lock().remove(&call);
        sender.is_some_and(|sender| sender.send(reply).is_ok())
    }

    /// Ends all pending calls: their receivers see a closed channel.
    pub fn close(&self) {
        self.lock().clear();
    }

    /// Sends a command to the control thread. The reply arrives on the returned receiver, which
    /// sees a closed channel if the control thread has ended.
    pub(super) fn submit(
        &self,
        operator: OperatorName,
        command: OperatorCommand,
    ) -> (CallToken, Receiver<OperatorReply>) {
        let index = self.next_index.fetch_add(1, Ordering::Relaxed);
        let call = CallToken::new(Component::External, index);
        let (sender, receiver) = flume::bounded(1);
        self.lock().insert(call, sender);
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |age| age.as_millis() as u64);
        let event = Event::Operator {
            call,
            operator,
            command,
            unix_ms,
        };
        if self.events.send(event).is_err() {
            self.remove(call);
        }
        (call, receiver)
    }

    pub(super) fn remove(&self, call: CallToken) {
        self.lock().remove(&call);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallToken, Sender<OperatorReply>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
