//! Decides what happens to each caller's request: where it goes, whether it waits, is refused,
//! or is sent again.

mod action;
mod admit;
mod budget;
mod call;
mod choose;
mod claim;
mod dispatcher;
mod event;
mod follow;
mod foresee;
mod health;
mod in_flight;
mod in_flight_entry;
mod message;
mod operators;
mod outbox;
mod outcome;
mod overload;
mod place;
mod record;
mod refusal;
mod reserve;
mod retry;
mod sending;
mod settings;
mod slow_start;
mod stop;
mod transmit;

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
pub use reserve::{OrderKind, OrderOutcome, ReserveOrder};
pub use sending::{PrefillHelper, SendPlan};
pub use settings::{DispatchSettings, RawDispatchSettings};
pub use slow_start::SlowStartLimiter;
