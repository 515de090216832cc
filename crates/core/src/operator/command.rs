//! Operators' commands.

use super::Intent;
use crate::ids::PlanId;
use serde::{Deserialize, Serialize};

/// An operator's command to a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCommand {
    /// State of this daemon and what it knows of others.
    Status,
    /// Upstreams and their load.
    Fleet,
    /// The configuration in force.
    ConfigShow,
    /// The change records.
    ConfigHistory,
    /// Answer an intent with a plan.
    Plan {
        /// The intent.
        intent: Intent,
        /// Accept a plan that leaves a model without capacity.
        force: bool,
    },
    /// Show a plan.
    PlanShow(PlanId),
    /// List the plans.
    PlanList,
    /// Put a plan in force.
    Confirm(PlanId),
}
