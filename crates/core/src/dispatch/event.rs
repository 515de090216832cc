//! Events that the dispatcher handles.

use super::{
    Call, DispatchMessage, DispatchSettings, LeavingNotice, MemoryRefusal, OrderKind, OrderOutcome,
    RateLimitNotice, SendOutcome,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, RelayId, SendId, VmId},
    path::{PathAttempts, PathReport},
    units::Millis,
    watch::{Batch, StoreError, Topic},
};
use std::sync::Arc;

/// One input of the dispatcher. The time is passed separately.
#[derive(Debug)]
pub enum DispatchEvent {
    /// The head of a caller's request was received, whose body is to follow. The call is not open yet, and its content
    /// and size are not known.
    HeadArrived(Box<Call>),
    /// A caller's request was received completely.
    Arrived(Box<Call>),
    /// A caller's request was refused before it was complete, because the memory budget has no room for it.
    MemoryRefused(MemoryRefusal),
    /// The first byte of a streamed answer, or a complete answer, was sent to the caller.
    FirstByte {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
    },
    /// An upstream has sent nothing for a time after which the link to it is worth a check.
    Silent {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
    },
    /// An upstream has sent nothing for the timeout in its plan, or a multiple of it.
    Stalled {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
        /// Duration of the silence.
        silent_ms: Millis,
    },
    /// The longest gap between two events of a streamed response that is complete. Sent before its `Ended`.
    LongestGap {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
        /// The gap, over all transmissions that the response came from.
        gap_ms: Millis,
    },
    /// A transmission ended.
    Ended {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
        /// The outcome.
        end: SendOutcome,
    },
    /// An upstream said in an answer that it is about to stop.
    UpstreamLeaving(LeavingNotice),
    /// An upstream stated in an answer how many requests a second it takes, or no longer did.
    UpstreamRateLimit(RateLimitNotice),
    /// A caller closed its connection before its answer was complete.
    CallerLeft {
        /// The call.
        call: CallId,
    },
    /// An order about a reservation was answered, or its answer timed out.
    OrderEnded {
        /// The reservation.
        ticket: Arc<str>,
        /// The order.
        kind: OrderKind,
        /// The outcome.
        end: OrderOutcome,
    },
    /// An upstream was checked.
    UpstreamChecked {
        /// The upstream.
        upstream: UpstreamIncarnation,
        /// The attempts to connect to it.
        attempts: PathAttempts,
    },
    /// A connection was opened, but not on the preferred path.
    PathsTried(PathReport),
    /// A transmission goes by way of a peer.
    Relayed {
        /// The call.
        call: CallId,
        /// The transmission.
        send: SendId,
        /// The peer's VM.
        relay: VmId,
    },
    /// A peer asks for a connection to an upstream.
    RelayRequested {
        /// The connection.
        relay: RelayId,
        /// The peer's VM.
        peer: VmId,
        /// The upstream.
        upstream: UpstreamIncarnation,
    },
    /// A connection that was opened for a peer ended.
    RelayEnded {
        /// The connection.
        relay: RelayId,
    },
    /// The store answered a read of a topic, or the read failed.
    StoreAnswered {
        /// The topic.
        topic: Topic,
        /// The answer.
        answer: Result<Box<Batch>, StoreError>,
    },
    /// The list of daemons was read from the store.
    DaemonsListed {
        /// The VMs of all daemons that have registered, this one included.
        vms: Vec<VmId>,
        /// Time since the read was sent.
        age_ms: Millis,
    },
    /// A connection to a peer was established.
    PeerUp {
        /// The peer's VM.
        vm: VmId,
    },
    /// The connection to a peer was lost.
    PeerDown {
        /// The peer's VM.
        vm: VmId,
    },
    /// A peer sent a message.
    PeerMessage {
        /// The peer's VM.
        vm: VmId,
        /// The message.
        message: DispatchMessage,
    },
    /// The settings file was reloaded.
    Reload(Box<DispatchSettings>),
    /// The process received a request to stop.
    Stop,
    /// The time of `Dispatcher::next_wakeup` was reached.
    Tick,
}
