//! Commands that operators send to a daemon.

use super::Intent;
use crate::ids::PlanId;
use serde::{Deserialize, Serialize};

/// A command that an operator sends to a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCommand {
    /// Returns the state of the daemon and its view of the members.
    Status,
    /// Returns the upstreams and their load.
    Fleet,
    /// Returns the configuration in force.
    ConfigShow,
    /// Returns the retained change records.
    ConfigHistory,
    /// Computes and stores a plan for an intent.
    Plan {
        /// The intent.
        intent: Intent,
        /// Whether to accept a plan that leaves a model or a service without capacity.
        force: bool,
    },
    /// Returns a plan.
    PlanShow(PlanId),
    /// Returns all stored plans.
    PlanList,
    /// Puts a plan in force.
    Confirm(PlanId),
}
