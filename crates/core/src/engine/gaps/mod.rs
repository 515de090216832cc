//! Prefill alongside decode: the gaps that a request will see and cause. Pure functions, which take the load of
//! an engine as an argument.

mod forecast;
mod settings;

pub use forecast::{GapForecast, LateLimits, PromptPart};
pub use settings::{GapSettings, RawGapSettings};
