//! Retry times that are promised to refused callers, and capacity kept for those who return when told to.
//!
//! The module knows neither dispatchers nor connections: it has the table of promises, the choice of a retry
//! time, and the judgement of a caller who returns.

mod engine_outlook;
mod promise_table;
mod report;
mod schedule;
mod settings;

pub use engine_outlook::load_after;
pub use promise_table::{Arrival, Promise, PromiseTable};
pub use report::{PromiseReport, PromiseReports, REPORT_MAX_LEN};
pub use schedule::{choose_retry, RetryChoice, RetryRequest, SlotForecast};
pub use settings::{RawReturnsSettings, ReturnsSettings};
