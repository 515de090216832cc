//! Connects the control thread with the tasks of calls.

use flume::{Receiver, Sender};
use persimmon_core::{
    dispatch::{DispatchEvent, Refusal, RefusalReason, SendPlan},
    ids::{CallId, RelayId},
    units::Millis,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

/// A command of the dispatcher for one call.
#[derive(Debug)]
pub enum CallCommand {
    /// Receive the body of the request.
    Receive,
    /// Send the request to an upstream.
    Send(Box<SendPlan>),
    /// Forward the upstream's failed response to the caller.
    PassFailure,
    /// Answer the caller with this refusal.
    Refuse(Refusal),
    /// Abort the response, so that the caller sees it as truncated.
    Abort,
}

/// Events that may wait for the control thread while new requests are accepted: more than all connections of a large
/// VM bring at once.
const EVENTS_MAX_LEN: usize = 10_000;

/// Refusal of a call that the control thread does not see any more.
const STOPPED: Refusal = Refusal {
    reason: RefusalReason::Stopping,
    may_have_run: false,
    retry_after_ms: Some(Millis::ZERO),
};

/// Registry of open calls: carries commands to their tasks and events to the control thread.
#[derive(Debug)]
pub struct Hub {
    events: Sender<DispatchEvent>,
    calls: Mutex<Calls>,
    relays: Mutex<Relays>,
}

#[derive(Debug, Default)]
struct Calls {
    last_id: CallId,
    open: HashMap<CallId, OpenCall>,
    /// Whether the control thread has ended.
    is_stopped: bool,
}

#[derive(Debug)]
struct OpenCall {
    commands: Sender<CallCommand>,
    /// Whether the control thread has decided about it.
    is_commanded: bool,
}

#[derive(Debug, Default)]
struct Relays {
    last_id: RelayId,
    asked: HashMap<RelayId, Sender<Option<SocketAddr>>>,
}

impl Hub {
    /// Creates a hub that sends events to `events`.
    pub fn new(events: Sender<DispatchEvent>) -> Self {
        Self {
            events,
            calls: Mutex::default(),
            relays: Mutex::default(),
        }
    }

    /// Registers a new call. Returns its id and the channel on which its commands arrive.
    pub fn open(&self) -> (CallId, Receiver<CallCommand>) {
        let (commands, inbox) = flume::unbounded();
        let mut calls = self.lock();
        calls.last_id = calls.last_id.next();
        let id = calls.last_id;
        if calls.is_stopped {
            // The receiver gets it before any event of this call could be handled.
            let _ = commands.send(CallCommand::Refuse(STOPPED));
        }
        calls.open.insert(
            id,
            OpenCall {
                commands,
                is_commanded: false,
            },
        );
        (id, inbox)
    }

    /// Removes a call; later commands for it are ignored.
    pub fn close(&self, call: CallId) {
        self.lock().open.remove(&call);
    }

    /// Sends a command to a call's task. It is ignored if the call has ended.
    pub fn send_command(&self, call: CallId, command: CallCommand) {
        if let Some(open) = self.lock().open.get_mut(&call) {
            open.is_commanded |= !matches!(command, CallCommand::Receive);
            let _ = open.commands.send(command);
        }
    }

    /// Refuses the calls that the control thread has not seen, and all that come. Called when it has ended.
    pub fn stop(&self) {
        let mut calls = self.lock();
        calls.is_stopped = true;
        for open in calls.open.values().filter(|open| !open.is_commanded) {
            let _ = open.commands.send(CallCommand::Refuse(STOPPED));
        }
    }

    /// Whether the control thread is so far behind that requests are refused rather than queued for it.
    pub fn is_behind(&self) -> bool {
        self.events.len() >= EVENTS_MAX_LEN
    }

    /// Sends an event to the control thread. The event is lost only when the process ends.
    pub fn send_event(&self, event: DispatchEvent) {
        let _ = self.events.send(event);
    }

    /// Registers a peer's request for a connection. Returns its id and the channel on which the upstream's
    /// address arrives, or none if the request is refused.
    pub fn open_relay(&self) -> (RelayId, Receiver<Option<SocketAddr>>) {
        let (answer, inbox) = flume::bounded(1);
        let mut relays = self.lock_relays();
        relays.last_id = relays.last_id.next();
        let id = relays.last_id;
        relays.asked.insert(id, answer);
        (id, inbox)
    }

    /// Answers a peer's request for a connection.
    pub fn answer_relay(&self, relay: RelayId, address: Option<SocketAddr>) {
        if let Some(answer) = self.lock_relays().asked.remove(&relay) {
            // An error means that the peer has given up.
            let _ = answer.send(address);
        }
    }

    fn lock_relays(&self) -> std::sync::MutexGuard<'_, Relays> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
