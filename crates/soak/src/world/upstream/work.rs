//! Work that an upstream does.

use super::incarnation::Incarnation;
use crate::history::Observation;
use std::sync::{atomic::Ordering, Arc};

/// Work that an upstream does; noted when it ends, for whatever reason.
pub(super) struct Work {
    pub(super) incarnation: Arc<Incarnation>,
    pub(super) tag: Arc<str>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.incarnation.running.fetch_sub(1, Ordering::Relaxed);
        self.incarnation.history.note(Observation::Rested {
            tag: Arc::clone(&self.tag),
            upstream: self.incarnation.id.clone(),
        });
    }
}
