//! The interface to operators: commands, intents, replies and errors.

mod command;
mod errors;
mod intent;
mod reply;

pub use command::OperatorCommand;
pub use errors::OperatorError;
pub use intent::Intent;
pub use reply::{
    ConfirmReport, DomainCapacity, FleetReport, OperatorReply, Plan, PlanEffect, PlanState,
    StatusReport, UpstreamStatus,
};
