//! The scenario language: a fleet, a timeline and expectations in plain words.

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
