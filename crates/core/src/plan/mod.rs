//! Plans: computed from an operator's intent, stored, and confirmed as a configuration change.

mod confirmation;
mod draft;
mod inputs;
mod old_plan_sweeper;
mod pending_command;
mod planner;
mod replies;
mod rows;
mod settings;

pub use inputs::PlanInputs;
pub use planner::Planner;
pub use settings::{PlanSettings, RawPlanSettings};
