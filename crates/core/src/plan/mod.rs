//! Plans: from an operator's intent to a confirmed change.

mod answers;
mod confirm;
mod draft;
mod facts;
mod planner;
mod rows;
mod settings;

pub use facts::PlanFacts;
pub use planner::Planner;
pub use settings::{PlanSettings, RawPlanSettings};
