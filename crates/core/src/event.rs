//! Events, the input of the core.

use crate::{
    ids::{AttemptId, Incarnation, OperatorName, RequestId, UpstreamId, VmId},
    message::PeerMessage,
    operator::OperatorCommand,
    platform::{CallToken, PlatformError, TableAnswer, VmRecord},
    request::{AttemptResult, RequestSpec, UpstreamError},
    units::Tokens,
    upstream::{CacheBatch, LoadReport},
};

/// An input of the core. The time is passed separately.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A timer of the core expired.
    Tick,
    /// A caller sent a request.
    Request(Box<RequestSpec>),
    /// A caller disconnected.
    CallerDisconnected {
        /// Its request.
        request: RequestId,
    },
    /// A caller requested a ticket.
    TicketRequested {
        /// Matches it with `Action::Ticket`.
        request: RequestId,
    },
    /// Tokens were forwarded to the caller.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens forwarded so far, over all attempts.
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
        /// The sender's VM, authenticated by its certificate.
        from: VmId,
        /// The sender's incarnation.
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
        /// Token of the call.
        token: CallToken,
        /// The answer.
        answer: Result<TableAnswer, PlatformError>,
    },
    /// The platform answered a request for its list of VMs.
    Vms {
        /// The list.
        answer: Result<Vec<VmRecord>, PlatformError>,
    },
    /// An upstream answered an order.
    OrderAnswered {
        /// The upstream.
        upstream: UpstreamId,
        /// Token of the order.
        token: CallToken,
        /// The answer.
        answer: Result<(), UpstreamError>,
    },
    /// An upstream sent its load report, or failed to.
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
        /// Matches the command with its reply.
        call: CallToken,
        /// The operator.
        operator: OperatorName,
        /// The command.
        command: OperatorCommand,
        /// Wall-clock time in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// The process was told to stop.
    Shutdown,
}
