//! The entry daemon's request lifecycle: admission, key claim, grant request, attempts at upstreams
//! and the final response to the caller.

mod admission;
mod attempts;
mod entry_daemon;
mod grant_requests;
mod held_grants;
mod highest_fencing;
mod open_request;
mod responses;
mod retry_budget;
mod settings;
mod timers;

pub use entry_daemon::Entry;
pub use settings::{EntrySettings, RawEntrySettings};
