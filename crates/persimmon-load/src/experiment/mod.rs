//! Experiments: a deployment under load, and what is done to it meanwhile.

mod alone;
mod bench;
mod compare;
mod counts;
mod domain_change;
mod faults;
mod slopes;
mod timeline;

pub use alone::{alone, AloneReport};
pub use bench::{Bench, BenchSettings, Watched};
pub use compare::{compare, CompareReport, PolicyReport};
pub use counts::{FleetCounts, KeyCounts};
pub use domain_change::{change_domain, ChangeReport, DomainChange};
pub use faults::{faults, FaultCase, FaultRow};
pub use slopes::{slopes, SlopeRow, SlopesReport};
pub use timeline::{Point, Timeline};
