//! What goes into the dispatcher.

use super::{Call, DispatchMessage, DispatchSettings, OrderKind, OrderOutcome, SendOutcome};
use crate::{
    ids::{CallId, SendId, VmId},
    units::Millis,
    watch::{Batch, StoreError, Topic},
};
use std::sync::Arc;

/// One input of the dispatcher. The time comes beside it.
#[derive(Debug)]
pub enum DispatchEvent {
    /// A caller's request is here, whole.
    Arrived(Box<Call>),
    /// The first byte of a streamed answer, or a whole answer, went to the caller.
    FirstByte {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
    },
    /// An upstream has been silent for as long as its plan says, or a multiple of it.
    Stalled {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
        /// How long.
        silent_ms: Millis,
    },
    /// A transmission ended.
    Ended {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
        /// How.
        end: SendOutcome,
    },
    /// A caller left.
    CallerLeft {
        /// The call.
        call: CallId,
    },
    /// An engine answered an order about a reservation, or did not.
    OrderEnded {
        /// The reservation.
        ticket: Arc<str>,
        /// The order.
        kind: OrderKind,
        /// How it ended.
        end: OrderOutcome,
    },
    /// The store answered.
    StoreAnswered {
        /// The topic.
        topic: Topic,
        /// The answer.
        answer: Result<Box<Batch>, StoreError>,
    },
    /// A peer is connected.
    PeerUp {
        /// Its VM.
        vm: VmId,
    },
    /// A peer is no longer connected.
    PeerDown {
        /// Its VM.
        vm: VmId,
    },
    /// A peer told of its work.
    PeerMessage {
        /// Its VM.
        vm: VmId,
        /// What.
        message: DispatchMessage,
    },
    /// The settings were read again.
    Reload(Box<DispatchSettings>),
    /// The process was asked to stop.
    Stop,
    /// Time has passed.
    Tick,
}
