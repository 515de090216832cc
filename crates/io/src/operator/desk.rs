//! Pairs operators' commands with their replies.

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

/// Pairs operators' commands with their replies.
#[derive(Debug)]
pub struct OperatorDesk {
    events: Sender<Event>,
    waiting: Mutex<BTreeMap<CallToken, Sender<OperatorReply>>>,
    last_index: AtomicU64,
}

impl OperatorDesk {
    /// Sends commands to the control thread as events.
    pub fn new(events: Sender<Event>) -> Self {
        Self {
            events,
            waiting: Mutex::default(),
            last_index: AtomicU64::new(0),
        }
    }

    /// Passes a reply on. False where nobody waits for it.
    pub fn reply(&self, call: CallToken, reply: OperatorReply) -> bool {
        let waiting = self.lock().remove(&call);
        waiting.is_some_and(|waiting| waiting.send(reply).is_ok())
    }

    /// Ends all waits: their receivers see the channel close.
    pub fn close(&self) {
        self.lock().clear();
    }

    pub(super) fn ask(
        &self,
        operator: OperatorName,
        command: OperatorCommand,
    ) -> (CallToken, Receiver<OperatorReply>) {
        let index = self.last_index.fetch_add(1, Ordering::Relaxed);
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
            self.forget(call);
        }
        (call, receiver)
    }

    pub(super) fn forget(&self, call: CallToken) {
        self.lock().remove(&call);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallToken, Sender<OperatorReply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
