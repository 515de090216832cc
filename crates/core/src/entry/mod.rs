//! Callers' requests, from their arrival to their last word.

mod admission;
mod asking;
mod ending;
mod entry_daemon;
mod fencing_seen;
mod open_request;
mod peers;
mod retry_budget;
mod running;
mod settings;
mod timers;

pub use entry_daemon::Entry;
pub use settings::{EntrySettings, RawEntrySettings};
