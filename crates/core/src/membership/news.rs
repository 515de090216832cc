//! Which members a heartbeat tells of: fresh news first, then the others in turn.

use crate::{ids::VmId, message::Member};
use std::collections::BTreeMap;

/// Heartbeats that carry one piece of news.
const NEWS_REPEATS_COUNT: u32 = 8;

/// News that wait to be told.
#[derive(Debug, Default)]
pub(super) struct News {
    fresh: BTreeMap<VmId, (Member, bool, u32)>,
    last: Option<VmId>,
}

impl News {
    /// Notes that a member is alive or gone.
    pub(super) fn add(&mut self, member: &Member, alive: bool) {
        let entry = (member.clone(), alive, NEWS_REPEATS_COUNT);
        self.fresh.insert(member.vm.clone(), entry);
    }

    /// Up to `limit` entries: news, then members of `known` in turn.
    pub(super) fn take(
        &mut self,
        limit: usize,
        known: &BTreeMap<VmId, Member>,
    ) -> Vec<(Member, bool)> {
        let mut told = Vec::new();
        for (member, alive, left) in self.fresh.values_mut().take(limit) {
            *left -= 1;
            told.push((member.clone(), *alive));
        }
        self.fresh.retain(|_, (_, _, left)| *left > 0);
        let start = self.last.clone();
        let after = known.iter().filter(|(vm, _)| start.as_ref() < Some(*vm));
        let wrapped = known.iter().filter(|(vm, _)| start.as_ref() >= Some(*vm));
        for (vm, member) in after.chain(wrapped).take(limit.saturating_sub(told.len())) {
            told.push((member.clone(), true));
            self.last = Some(vm.clone());
        }
        told
    }
}
