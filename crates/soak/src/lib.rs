//! Fault soak: runs gateways as separate processes against stand-ins, injects seeded faults from
//! outside, and checks invariants against what callers and upstreams observe.

pub mod crowd;
pub mod fault;
pub mod history;
pub mod invariant;

mod caller;
mod errors;
mod run;
mod test_deployment;
mod testbed;

pub use errors::SoakError;
pub use run::{run, soak, SoakArgs, SoakReport};
pub use test_deployment::{Outcome, TestDaemon, TestDeployment};
pub use testbed::{DaemonLimits, ExtraBytes, ExtraTime, Misbehavior, EXTRA_BYTES};
