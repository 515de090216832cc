//! Errors that operators see.

use crate::ids::{Generation, PlanId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why an operator's command was refused.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorError {
    /// The intent names something unknown or is not allowed.
    #[error("{reason}")]
    Intent {
        /// Why, with the remedy.
        reason: String,
    },
    /// No such plan.
    #[error("no plan {0}: `persimmonctl plan list` shows the open ones")]
    UnknownPlan(PlanId),
    /// The plan expired.
    #[error("plan {0} expired: make a new plan")]
    Expired(PlanId),
    /// Another change came first.
    #[error(
        "the configuration moved from generation {planned} to {head} since the plan: \
         review a new plan"
    )]
    Conflict {
        /// The generation planned against.
        planned: Generation,
        /// The head now.
        head: Generation,
    },
    /// The plan leaves something without capacity.
    #[error("refused without --force: {reason}")]
    NeedsForce {
        /// What it would cost.
        reason: String,
    },
    /// The store can't be reached.
    #[error("the platform's store is unavailable: nothing changed, retry later")]
    StoreUnavailable,
    /// The outcome is not known yet.
    #[error(
        "the store's answer was lost: run `persimmonctl confirm {0}` again to learn the outcome"
    )]
    OutcomeUnknown(PlanId),
    /// This daemon has no configuration yet.
    #[error("this daemon has no configuration yet: retry, or ask another daemon")]
    NotReady,
}
