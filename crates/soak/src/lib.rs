//! The fault soak: runs the gateway as separate processes against stand-ins, injects seeded faults
//! from outside, and judges promises by what callers and upstreams see.

pub mod fault;
pub mod history;
pub mod promise;

mod caller;
mod drill;
mod errors;
mod run;
mod world;

pub use drill::{Drill, Outcome};
pub use errors::SoakError;
pub use run::{run, soak, SoakArgs, Verdict};
