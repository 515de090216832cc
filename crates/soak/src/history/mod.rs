//! Observations by callers, upstreams and operators, in the order of time.

mod indexed;
mod log;
mod observation;

pub use indexed::{IndexedHistory, RequestRecord, UpstreamRun};
pub use log::{Clock, History};
pub use observation::{BodyCheck, Component, DaemonIndex, Observation};
