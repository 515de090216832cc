//! Errors returned to operators.

use crate::ids::{Generation, PlanId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason why an operator's command was refused.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorError {
    /// The intent refers to something unknown or is not allowed.
    #[error("{reason}")]
    Intent {
        /// The cause and its remedy.
        reason: String,
    },
    /// The plan does not exist.
    #[error("no plan {0}: `persimmonctl plan list` shows the open ones")]
    UnknownPlan(PlanId),
    /// The plan was not confirmed within its lifetime.
    #[error("plan {0} expired: make a new plan")]
    Expired(PlanId),
    /// Another change was confirmed since the plan was computed.
    #[error(
        "the configuration moved from generation {planned} to {head} since the plan: \
         review a new plan"
    )]
    Conflict {
        /// The generation that the plan is based on.
        planned: Generation,
        /// The newest generation in the store.
        head: Generation,
    },
    /// The plan leaves a model or a service without capacity, and `force` was not set.
    #[error("refused without --force: {reason}")]
    NeedsForce {
        /// The warnings of the plan.
        reason: String,
    },
    /// The store cannot be reached; nothing was changed.
    #[error("the platform's store is unavailable: nothing changed, retry later")]
    StoreUnavailable,
    /// The answer of the store was lost, so the outcome of the confirmation is unknown.
    #[error(
        "the store's answer was lost: run `persimmonctl confirm {0}` again to learn the outcome"
    )]
    OutcomeUnknown(PlanId),
    /// The daemon has no configuration yet.
    #[error("this daemon has no configuration yet: retry, or ask another daemon")]
    NotReady,
}
