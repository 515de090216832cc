//! The scenario language: a fleet, a timeline and expectations in plain words.

mod actions;
mod errors;
mod expect;
mod line;
mod report;
mod runner;
mod words;

pub use errors::ScriptError;
pub use report::Report;
pub use runner::run_script;
