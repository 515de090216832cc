//! Speed of upstreams, learned from their answers and shared among daemons, so that a slow upstream gets the work
//! that it can do in time.
//!
//! Load pattern: some upstreams run several times as slowly as their profile for some seconds, with good health.

mod decayed_mean;
mod report;
mod sample;
mod settings;
mod slowdown;
mod speed_table;

pub use report::SpeedReport;
pub use sample::SpeedSample;
pub use settings::{RawSpeedSettings, SpeedSettings};
pub use slowdown::SlowdownRatio;
pub use speed_table::SpeedTable;
