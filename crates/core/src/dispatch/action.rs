//! Actions that the dispatcher returns for its runtime to carry out.

use super::{DispatchMessage, DispatchRecord, Refusal, ReserveOrder, SendPlan};
use crate::{
    catalog::CallerLimits,
    fleet::UpstreamIncarnation,
    ids::{CallId, RelayId, VmId},
    path::PathPlan,
    units::Millis,
    watch::WatchCall,
};
use std::net::SocketAddr;

/// One action for the runtime to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send a call to an upstream and relay its answer.
    Send(Box<SendPlan>),
    /// Relay the error response of the upstream to the caller.
    PassFailure {
        /// The call.
        call: CallId,
    },
    /// Receive the body of a request.
    Receive {
        /// The call.
        call: CallId,
    },
    /// Refuse or abandon a call. Any transmission in progress for it is cancelled.
    Refuse {
        /// The call.
        call: CallId,
        /// The answer to the caller.
        refusal: Refusal,
    },
    /// Abort an answer that has begun and can't be completed, so that the caller does not take it
    /// for a complete one.
    AbortAnswer {
        /// The call.
        call: CallId,
    },
    /// Send a message to one peer or to all.
    Notify {
        /// The peer, or `None` for all connected peers.
        to: Option<VmId>,
        /// The message.
        message: DispatchMessage,
    },
    /// Close the pooled connections to these addresses that have been idle for longer than a time. The
    /// network may have lost their upstreams since.
    DiscardIdle {
        /// The addresses.
        addresses: Vec<SocketAddr>,
        /// The time.
        idle_for_ms: Millis,
    },
    /// Send an engine an order about a memory reservation.
    Order(ReserveOrder),
    /// Check whether an upstream accepts connections, and on which paths.
    CheckUpstream {
        /// The upstream.
        upstream: UpstreamIncarnation,
        /// Its address.
        address: SocketAddr,
        /// The paths.
        paths: PathPlan,
    },
    /// Answer a peer's request for a connection to an upstream.
    AnswerRelay {
        /// The connection.
        relay: RelayId,
        /// The upstream's address; none if the request is refused.
        address: Option<SocketAddr>,
    },
    /// Close the pooled connections by way of a peer, now or when their responses are complete.
    DiscardRelayed {
        /// The peer.
        peer: VmId,
    },
    /// Read a topic from the store.
    ReadStore(WatchCall),
    /// Write this daemon's entry and the shared certificate authority to the store again, which may
    /// have lost them, and read the entries of the other daemons.
    Register {
        /// Time to wait before, so that not all daemons write at once.
        after_ms: Millis,
    },
    /// Apply new limits to callers' connections and requests.
    Limits(CallerLimits),
    /// Report whether the daemon is ready for new callers.
    Ready(bool),
    /// Close callers' connections after their current answers, so that they reconnect elsewhere.
    DisableKeepAlive,
    /// Close callers' connections as soon as they are idle.
    CloseIdleConnections,
    /// Write a log line.
    Log(Box<DispatchRecord>),
    /// Exit the process: graceful shutdown is complete.
    Exit,
}
