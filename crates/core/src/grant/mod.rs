//! Grants on the owner's side. The owner of an upstream tracks every granted call in flight there,
//! queues requests that have to wait, and reclaims capacity when a grant expires or is cancelled.

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
