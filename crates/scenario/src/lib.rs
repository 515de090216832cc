//! Scripted scenarios: daemons' cores in virtual time against small fakes.
//!
//! A [`Fleet`] joins the cores by a queue with seeded delays and faults. Upstreams, the platform's
//! store and the network are fakes at the core's interfaces, no simulator of a cluster.

mod build;
mod caller;
mod carry;
mod faults;
mod fleet;
mod network;
mod node;
mod promises;
mod queries;
mod queue;
mod script;
mod store;
mod switch;
mod traffic;
mod upstream;
mod vm;

pub use build::{DomainSpec, FleetSpec, MODEL, SERVICE};
pub use caller::{token, Caller, End};
pub use fleet::{Fleet, MakeNode};
pub use network::{Chances, Network};
pub use node::Node;
pub use promises::{broken_promise, is_overdue};
pub use queue::Queue;
pub use script::{run_script, Report, ScriptError};
pub use store::{Store, StoreCall, StoreFault};
pub use switch::{Switch, Switches};
pub use upstream::{Held, Upstream, UpstreamFault};
pub use vm::Vm;
