//! What callers ask: the mix, the arrivals and the prompts.

mod arrival;
mod length_class;
mod mix;
mod prompts;
mod schedule;

pub(crate) use arrival::key;
pub use arrival::{Arrival, Work};
pub use length_class::LengthClass;
pub use mix::{Mix, MixFields, PromptRange};
pub use prompts::Prompts;
pub use schedule::{schedule, ScheduleSettings};
