//! Dispatch of callers' requests to upstreams: admission, queueing, upstream choice, retries, and
//! graceful shutdown.

mod action;
mod admit;
mod budget;
mod call;
mod choose;
mod contention;
mod dispatcher;
mod event;
mod freshness;
mod health;
mod in_flight;
mod in_flight_entry;
mod message;
mod outbox;
mod outcome;
mod placement;
mod queue_order;
mod queue_wait;
mod record;
mod refusal;
mod reservation;
mod retry;
mod send;
mod send_plan;
mod settings;
mod shutdown;
mod slow_start;
mod store_updates;

pub use action::DispatchAction;
pub use budget::RetryBudget;
pub use call::{Call, PromptSize};
pub use choose::{choose_engine, choose_plain, Candidate, EngineChoice, PlacementRequest};
pub use dispatcher::Dispatcher;
pub use event::DispatchEvent;
pub use health::{Health, HealthTable};
pub use in_flight::InFlightTable;
pub use in_flight_entry::{HelperAssignment, InFlightEntry, InFlightId, Phase};
pub use message::{DispatchMessage, InFlightReport, UpstreamChange};
pub use outcome::{Culprit, SendOutcome};
pub use record::DispatchRecord;
pub use refusal::{Refusal, RefusalReason};
pub use reservation::{OrderKind, OrderOutcome, ReserveOrder};
pub use send_plan::{PrefillHelper, SendPlan};
pub use settings::{DispatchSettings, RawDispatchSettings};
pub use slow_start::SlowStartLimiter;
