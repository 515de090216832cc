//! Decides what happens to each caller's request: where it goes, whether it waits, is refused,
//! or is sent again.

mod action;
mod admit;
mod budget;
mod call;
mod choose;
mod claim;
mod cold;
mod dispatcher;
mod event;
mod follow;
mod foresee;
mod health;
mod ledger;
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
mod stop;
mod transmit;
mod work;

pub use action::DispatchAction;
pub use budget::RetryBudget;
pub use call::{Call, PromptSize};
pub use choose::{choose_engine, choose_plain, Candidate, EngineChoice, Wanted};
pub use cold::ColdRates;
pub use dispatcher::Dispatcher;
pub use event::DispatchEvent;
pub use health::{Health, HealthBook};
pub use ledger::Ledger;
pub use message::{DispatchMessage, UpstreamChange, WorkStart};
pub use outcome::{Culprit, SendEnd};
pub use record::DispatchRecord;
pub use refusal::{Reason, Refusal};
pub use reserve::{OrderEnd, OrderKind, ReserveOrder};
pub use sending::{Helper, SendPlan};
pub use settings::{DispatchSettings, RawDispatchSettings};
pub use work::{HelperWork, Phase, Work, WorkId};
