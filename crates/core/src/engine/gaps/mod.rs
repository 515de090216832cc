//! Prefill alongside decode: the gaps that a request will see and cause, and how many engines short
//! prompts need. Tables and pure functions, which take the load of an engine as an argument.

mod arrivals;
mod forecast;
mod settings;

pub use arrivals::{PromptArrival, PromptArrivals, ShortDemand};
pub use forecast::{GapForecast, LateLimits, PromptPart};
pub use settings::{GapSettings, RawGapSettings};
