//! Weighted fairness between workspaces: self-clocked fair queueing by tokens.

use crate::ids::WorkspaceId;
use std::collections::BTreeMap;

/// Workspaces whose tags are kept before the old ones are looked for.
const KEPT_COUNT: usize = 512;

/// Tags of one lane. A tag is the service, in tokens over weight, after which a request is due.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueueing {
    served: u64,
    last_tags: BTreeMap<WorkspaceId, u64>,
}

impl FairQueueing {
    /// The tag of a workspace's next request.
    pub(super) fn tag(&mut self, workspace: &WorkspaceId, tokens: u64, weight_count: u32) -> u64 {
        let last = self.last_tags.get(workspace).copied().unwrap_or_default();
        let cost = tokens.max(1) / u64::from(weight_count.max(1));
        let tag = last.max(self.served) + cost.max(1);
        if self.last_tags.len() >= KEPT_COUNT {
            let served = self.served;
            self.last_tags.retain(|_, tag| *tag > served);
        }
        self.last_tags.insert(workspace.clone(), tag);
        tag
    }

    /// A request with this tag is served.
    pub(super) fn serve(&mut self, tag: u64) {
        self.served = self.served.max(tag);
    }
}
