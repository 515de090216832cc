//! Load generator for daemons: open-loop arrivals, responses verified token by token, and
//! experiments.

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
