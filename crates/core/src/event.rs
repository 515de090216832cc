//! What goes into the core.

use crate::{
    ids::{AttemptId, Incarnation, OperatorName, RequestId, UpstreamId, VmId},
    message::PeerMessage,
    operator::OperatorCommand,
    platform::{CallToken, PlatformError, TableAnswer, VmRecord},
    request::{AttemptResult, RequestSpec, UpstreamError},
    units::Tokens,
    upstream::{CacheBatch, LoadReport},
};

/// One input of the core. The time comes beside it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A timer of the core is due.
    Tick,
    /// A caller sent a request.
    Request(Box<RequestSpec>),
    /// A caller went away.
    CallerDisconnected {
        /// Its request.
        request: RequestId,
    },
    /// A caller asks for a ticket.
    TicketRequested {
        /// Pairs it with `Action::Ticket`.
        request: RequestId,
    },
    /// Tokens were passed on to the caller.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens the caller has now, over all attempts.
        delivered_tokens: Tokens,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptResult,
    },
    /// A peer sent a message.
    Peer {
        /// The sender's VM, proved by its certificate.
        from: VmId,
        /// The sender's run.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A message could not be delivered.
    PeerUnreachable {
        /// The peer's VM.
        vm: VmId,
    },
    /// The table service or object store answered.
    Platform {
        /// The call.
        token: CallToken,
        /// The answer.
        answer: Result<TableAnswer, PlatformError>,
    },
    /// The platform listed its VMs.
    Vms {
        /// The list.
        answer: Result<Vec<VmRecord>, PlatformError>,
    },
    /// An upstream answered an order.
    OrderAnswered {
        /// The upstream.
        upstream: UpstreamId,
        /// The order.
        token: CallToken,
        /// The answer.
        answer: Result<(), UpstreamError>,
    },
    /// An upstream reported its load, or did not.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// The report.
        answer: Result<Box<LoadReport>, UpstreamError>,
    },
    /// An engine published cache events.
    Cache {
        /// The engine.
        upstream: UpstreamId,
        /// The events.
        batch: CacheBatch,
    },
    /// An operator sent a command.
    Operator {
        /// Pairs it with its reply.
        call: CallToken,
        /// Who.
        operator: OperatorName,
        /// What.
        command: OperatorCommand,
        /// Wall clock in milliseconds since the epoch.
        unix_ms: u64,
    },
    /// The process was asked to stop.
    Shutdown,
}
