//! The operators' command-line client: sends a command to a daemon and prints the reply.

pub mod args;
pub mod client;
pub mod report;

mod errors;
mod exit;
mod explain;
mod keys;
mod run;

pub use errors::CtlError;
pub use exit::Exit;
pub use explain::explain;
pub use run::run;
