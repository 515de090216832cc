//! Dispatch of callers' requests to upstreams: admission, queueing, upstream choice, retries, and
//! graceful shutdown.

mod action;
mod admit;
mod answer;
mod backoff;
mod budget;
mod cached_prefixes;
mod call;
mod choose;
mod contention;
mod crash;
mod crash_check;
mod crash_evidence;
mod dispatcher;
mod ejection_report;
mod event;
mod extension;
mod extension_peers;
mod freshness;
mod gaps;
mod health;
mod in_flight;
mod in_flight_entry;
mod late_cause;
mod leaving;
mod links;
mod message;
mod next_step;
mod operator_changes;
mod outbox;
mod outcome;
mod peers;
mod placement;
mod quarantine;
mod quarantine_calls;
mod queue_order;
mod queue_wait;
mod rate_limit;
mod rate_notice;
mod record;
mod refusal;
mod relay;
mod reservation;
mod restore;
mod retry;
mod return_calls;
mod return_time;
mod roster;
mod send;
mod send_plan;
mod settings;
mod shutdown;
mod slow_start;
mod speeds;
mod store_updates;
mod token_bucket;
mod upstream_bytes;
mod upstream_outcome;
mod workspace_shares;

pub use action::DispatchAction;
pub use answer::{
    promises_not_run, AnswerOrigin, AnswerVerdict, BodyContent, BodyEnd, BodyFraming, BrokenOff,
    ConnectionUse, Doubt, EndVerdict, ResponseClaims, StatedRequest,
};
pub use backoff::BackoffTable;
pub use budget::{AllowanceShare, BudgetState, RetryBudget};
pub use call::{Call, PromptSize};
pub use choose::{
    choose_engine, choose_plain, Candidate, EngineChoice, GapRequest, PlacementRequest,
};
pub use crash::{Crash, CrashNotice, CrashReport, EndedUpstream};
pub use crash_evidence::Clearing;
pub use dispatcher::Dispatcher;
pub use event::DispatchEvent;
pub use extension::{ExtensionError, ExtensionFrame, ExtensionKind, ExtensionMessage};
pub use health::{Health, HealthTable};
pub use in_flight::InFlightTable;
pub use in_flight_entry::{HelperAssignment, InFlightEntry, InFlightId, Phase};
pub use late_cause::LateCause;
pub use leaving::LeavingNotice;
pub use message::{
    DispatchMessage, InFlightReport, QuarantineMessage, RateLimitReport, UpstreamChange,
};
pub use next_step::RetryVerdict;
pub use operator_changes::OperatorChange;
pub use outcome::{Culprit, SendOutcome};
pub use quarantine::{NewVerdict, Quarantine, QuarantinedFingerprint};
pub use rate_limit::{RateLimitTable, RateStatement};
pub use rate_notice::RateLimitNotice;
pub use record::{DispatchRecord, UpstreamSource};
pub use refusal::{Refusal, RefusalReason};
pub use relay::RelayRefusal;
pub use reservation::{OrderKind, OrderOutcome, ReserveOrder};
pub use send_plan::{PrefillHelper, SendPlan};
pub use settings::{DispatchSettings, RawDispatchSettings};
pub use slow_start::SlowStartLimiter;
pub use upstream_bytes::MemoryRefusal;
