//! The scenario language: scripts that describe a fleet, timed statements and expectations.

mod actions;
mod errors;
mod expectations;
mod report;
mod runner;
mod statement;
mod words;

pub use errors::ScriptError;
pub use report::Report;
pub use runner::run_script;
