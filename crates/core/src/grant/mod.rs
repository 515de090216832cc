//! The owner's side of grants: exact accounts of each owned upstream, a queue, lapse and cancel.

mod account;
mod admit;
mod backlog;
mod breaker;
mod candidates;
mod choose;
mod estimates;
mod fair_queueing;
mod grant_end;
mod group;
mod long_prompt_engines;
mod orphans;
mod owner;
mod prefix_cache;
mod priority_level;
mod queue;
mod queue_pass;
mod segments;
mod settings;
mod slow_start;
mod summary;
mod timer_check;
mod timer_events;
mod timers;

pub use owner::Owner;
pub use settings::{GrantSettings, LongPromptPlacement, RawGrantSettings};
pub use summary::OwnedUpstreamStatus;
