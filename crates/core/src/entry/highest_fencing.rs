//! The highest fencing number seen for each upstream.

use crate::ids::{FencingNumber, UpstreamId};
use std::collections::BTreeMap;

/// The highest fencing number seen for each upstream.
#[derive(Debug, Default)]
pub(super) struct HighestFencing(BTreeMap<UpstreamId, FencingNumber>);

impl HighestFencing {
    /// Records a number. Returns false if a higher one was seen before.
    pub(super) fn accept(&mut self, upstream: &UpstreamId, fencing: FencingNumber) -> bool {
        let seen = self.0.entry(upstream.clone()).or_default();
        let is_new = fencing >= *seen;
        *seen = fencing.max(*seen);
        is_new
    }

    /// The highest number seen for any of these upstreams, or the default if none was seen.
    pub(super) fn highest(&self, upstreams: &[UpstreamId]) -> FencingNumber {
        let seen = upstreams.iter().filter_map(|upstream| self.0.get(upstream));
        seen.copied().max().unwrap_or_default()
    }

    /// Removes the upstreams for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.0.retain(|upstream, _| keep(upstream));
    }
}
