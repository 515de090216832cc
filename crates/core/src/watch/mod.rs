//! Follows the platform's store: what is asked when, and how old the knowledge is.

mod change;
mod topic_watch;

pub use change::{Batch, Change, StoreError, Topic};
pub use topic_watch::{ReconnectStatus, TopicWatch, WatchCall, WatchSettings};
