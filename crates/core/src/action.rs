//! Actions, the output of the core.

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

/// An output of the core, carried out by the process around it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to its upstream and forward the answer to the caller.
    StartAttempt(Box<AttemptPlan>),
    /// Stop reading an attempt's answer.
    StopAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// End the caller's request. No further action follows for it.
    EndRequest {
        /// The request.
        request: RequestId,
        /// How the request ends for the caller.
        end: FinalResponse,
    },
    /// Return a ticket to a caller.
    Ticket {
        /// Matches it with `Event::TicketRequested`.
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
        /// Matches the call with its answer.
        token: CallToken,
        /// The call.
        op: TableOp,
    },
    /// Call the object store.
    Object {
        /// Matches the call with its answer.
        token: CallToken,
        /// The call.
        op: ObjectOp,
    },
    /// Ask the platform for its list of VMs.
    ListVms,
    /// Send an order to an upstream.
    Order(Box<Order>),
    /// Request an upstream's load report.
    PollLoad {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
    },
    /// Request an engine's cache events.
    PollCache {
        /// The engine.
        upstream: UpstreamId,
        /// Its address.
        address: SocketAddr,
        /// Sequence number of the first requested event; `None` requests the whole cache.
        from_seq_index: Option<u64>,
    },
    /// Answer an operator.
    OperatorReply {
        /// Token of the command.
        call: CallToken,
        /// The answer.
        reply: Box<OperatorReply>,
    },
    /// Write a log line.
    Log(Box<Record>),
    /// The daemon's readiness changed.
    Ready {
        /// Whether the daemon accepts requests.
        ready: bool,
        /// Why it is not ready, or what is degraded.
        notes: Vec<String>,
    },
    /// The shutdown is complete: exit the process.
    Exit,
}
