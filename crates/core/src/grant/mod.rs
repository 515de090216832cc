//! The owner's side of grants: exact accounts of each owned upstream, a queue, lapse and cancel.

mod account;
mod admit;
mod audit;
mod backlog;
mod breaker;
mod choose;
mod clock;
mod fairness;
mod fit;
mod group;
mod lapse;
mod learnt;
mod level;
mod long_set;
mod orphans;
mod owner;
mod prefix_cache;
mod pump;
mod ramp;
mod segments;
mod settings;
mod summary;
mod timers;
mod waiting;

pub use owner::Owner;
pub use settings::{GrantSettings, LongPromptPlacement, RawGrantSettings};
pub use summary::OwnedUpstreamStatus;
