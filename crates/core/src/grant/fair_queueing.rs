//! Weighted fair queueing between workspaces: self-clocked fair queueing (SCFQ), charged in tokens.

use crate::ids::WorkspaceId;
use std::collections::BTreeMap;

/// Number of stored finish tags from which outdated ones are removed.
const CLEANUP_TAGS_COUNT: usize = 512;

/// Finish tags of one lane. A finish tag is the virtual time, in tokens divided by weight, at which
/// a request is due.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueueing {
    virtual_time: u64,
    last_finish_tags: BTreeMap<WorkspaceId, u64>,
}

impl FairQueueing {
    /// The finish tag of a workspace's next request.
    pub(super) fn next_finish_tag(
        &mut self,
        workspace: &WorkspaceId,
        tokens: u64,
        weight_count: u32,
    ) -> u64 {
        let last = self
            .last_finish_tags
            .get(workspace)
            .copied()
            .unwrap_or_default();
        let cost = tokens.max(1) / u64::from(weight_count.max(1));
        let tag = last.max(self.virtual_time) + cost.max(1);
        if self.last_finish_tags.len() >= CLEANUP_TAGS_COUNT {
            let virtual_time = self.virtual_time;
            self.last_finish_tags.retain(|_, tag| *tag > virtual_time);
        }
        self.last_finish_tags.insert(workspace.clone(), tag);
        tag
    }

    /// Advances virtual time to the finish tag of a granted request.
    pub(super) fn advance(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }
}
