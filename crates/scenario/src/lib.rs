//! Deterministic simulation of a fleet of daemons, driven by scenario scripts.
//!
//! A [`Fleet`] runs the daemons' cores in virtual time and connects them by an event queue with
//! seeded delays and faults. Upstreams, the platform's store and the network are in-memory fakes
//! behind the core's interfaces; the crate does not simulate a whole cluster.

mod build;
mod caller;
mod defect;
mod execute;
mod faults;
mod fleet;
mod invariants;
mod network;
mod node;
mod queries;
mod queue;
mod script;
mod store;
mod traffic;
mod upstream;
mod vm;

pub use build::{DomainSpec, FleetSpec, MODEL, SERVICE};
pub use caller::{expected_token, Caller, RequestEnd};
pub use defect::{Defect, Defects};
pub use fleet::{Fleet, NodeFactory};
pub use invariants::{any_overdue, invariant_violation};
pub use network::{FaultRates, Network};
pub use node::Node;
pub use queue::EventQueue;
pub use script::{run_script, Report, ScriptError};
pub use store::{Store, StoreCall, StoreFault};
pub use upstream::{InFlight, Upstream, UpstreamFault};
pub use vm::Vm;
