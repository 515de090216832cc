//! The workload: request mix, arrivals and prompts.

mod arrival;
mod mix;
mod prompt_generator;
mod schedule;

pub(crate) use arrival::idempotency_key;
pub use arrival::{Arrival, RequestKind};
pub use mix::{Mix, PromptRange, RawMix};
pub use prompt_generator::PromptGenerator;
pub use schedule::{schedule, ScheduleSettings};
