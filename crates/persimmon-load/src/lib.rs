//! Load for daemons: open-loop arrivals, whole answers checked by content, and experiments.

pub mod args;
pub mod caller;
pub mod experiment;
pub mod measure;
pub mod plot;
pub mod workload;

mod errors;
mod run;

pub use errors::LoadError;
pub use run::run;
