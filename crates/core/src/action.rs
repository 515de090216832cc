//! What comes out of the core.

use crate::{
    decision::Record,
    ids::{AttemptId, IdempotencyKey, RequestId, UpstreamId, VmId},
    message::PeerMessage,
    operator::OperatorReply,
    platform::{CallToken, ObjectOp, TableOp},
    request::{AttemptPlan, FinalResponse},
    upstream::Order,
};
use std::net::SocketAddr;

/// One output of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to its upstream and pass the answer on.
    StartAttempt(Box<AttemptPlan>),
    /// Stop reading an attempt's answer.
    StopAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the caller its last word. Nothing follows for this request.
    EndRequest {
        /// The request.
        request: RequestId,
        /// The last word.
        end: FinalResponse,
    },
    /// Give a caller its ticket.
    Ticket {
        /// Pairs it with `Event::TicketRequested`.
        request: RequestId,
        /// The ticket.
        key: IdempotencyKey,
    },
    /// Send a message to a peer.
    SendPeer {
        /// The peer's VM.
        to: VmId,
        /// Its address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Call the table service.
    Table {
        /// Pairs it with its answer.
        token: CallToken,
        /// The call.
        op: TableOp,
    },
    /// Call the object store.
    Object {
        /// Pairs it with its answer.
        token: CallToken,
        /// The call.
        op: ObjectOp,
    },
    /// Ask the platform for its list of VMs.
    ListVms,
    /// Send an order to an upstream.
    Order(Box<Order>),
    /// Ask an upstream for its load.
    PollLoad {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
    },
    /// Ask an engine for its cache events.
    PollCache {
        /// The engine.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
        /// Sequence number of the first event wanted; absent for the whole cache.
        from_seq_index: Option<u64>,
    },
    /// Answer an operator.
    OperatorReply {
        /// The command.
        call: CallToken,
        /// The answer.
        reply: Box<OperatorReply>,
    },
    /// Write a log line.
    Log(Box<Record>),
    /// Readiness changed.
    Ready {
        /// Whether the daemon takes requests.
        ready: bool,
        /// Why not, or what is degraded.
        notes: Vec<String>,
    },
    /// All is done after a shutdown: exit.
    Exit,
}
