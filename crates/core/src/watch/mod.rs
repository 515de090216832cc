//! Watches the platform's store: when to call it, and how old the known state is.

mod change;
mod history;
mod position;
mod topic_watch;

pub use change::{Batch, Change, StoreError, Topic};
pub use history::Unchanged;
pub use position::StorePosition;
pub use topic_watch::{ReconnectStatus, TopicWatch, WatchCall, WatchSettings};
