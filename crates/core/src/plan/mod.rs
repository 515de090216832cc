//! Plans: from an operator's intent to a confirmed change.

mod answers;
mod confirm;
mod confirming;
mod draft;
mod facts;
mod planner;
mod rows;
mod settings;
mod sweeper;

pub use facts::PlanInputs;
pub use planner::Planner;
pub use settings::{PlanSettings, RawPlanSettings};
