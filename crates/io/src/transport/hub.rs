//! Joins the control thread with the tasks of requests.

use flume::{Receiver, Sender};
use persimmon_core::{
    dispatch::{DispatchEvent, Refusal, SendPlan},
    ids::CallId,
};
use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

/// What the dispatcher decided for one call.
#[derive(Debug)]
pub enum CallCommand {
    /// Send it to an upstream.
    Send(Box<SendPlan>),
    /// Pass the upstream's failure on.
    PassFailure,
    /// Give it this last word.
    Refuse(Refusal),
    /// Break its answer off.
    Abort,
}

/// Joins the control thread with the tasks of requests.
#[derive(Debug)]
pub struct Hub {
    events: Sender<DispatchEvent>,
    calls: Mutex<Calls>,
}

#[derive(Debug, Default)]
struct Calls {
    last: CallId,
    open: HashMap<CallId, Sender<CallCommand>>,
}

impl Hub {
    /// A hub whose events go to `events`.
    pub fn new(events: Sender<DispatchEvent>) -> Self {
        Self {
            events,
            calls: Mutex::default(),
        }
    }

    /// Opens a call: its number, and where its commands arrive.
    pub fn open(&self) -> (CallId, Receiver<CallCommand>) {
        let (commands, inbox) = flume::unbounded();
        let mut calls = self.lock();
        calls.last = calls.last.next();
        let id = calls.last;
        calls.open.insert(id, commands);
        (id, inbox)
    }

    /// Closes a call.
    pub fn close(&self, call: CallId) {
        self.lock().open.remove(&call);
    }

    /// Hands a command to a call's task. A call that ended meanwhile needs none.
    pub fn send_command(&self, call: CallId, command: CallCommand) {
        let task = self.lock().open.get(&call).cloned();
        if let Some(task) = task {
            let _ = task.send(command);
        }
    }

    /// Hands an event to the control thread. It is gone only when the process ends.
    pub fn send_event(&self, event: DispatchEvent) {
        let _ = self.events.send(event);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
