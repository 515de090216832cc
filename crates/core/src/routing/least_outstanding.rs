//! Least-outstanding routing policy, a baseline to compare the cost policy with.

use super::{
    candidates::{best_tier, candidates, check_target},
    Route, RouteQuery, Router, RoutingSettings,
};
use crate::{
    context::{Context, View},
    ids::{UpstreamId, VmId},
    message::{GrantAnswer, GrantReport},
    request::Refusal,
};
use std::collections::BTreeMap;

/// Asks the owner with the fewest grants to this daemon that have not ended yet.
#[derive(Debug)]
pub(super) struct LeastOutstanding {
    settings: RoutingSettings,
    outstanding: BTreeMap<VmId, u64>,
}

impl LeastOutstanding {
    pub(super) fn new(settings: RoutingSettings) -> Self {
        Self {
            settings,
            outstanding: BTreeMap::new(),
        }
    }

    fn outstanding_at(&self, owner: &VmId) -> u64 {
        self.outstanding.get(owner).copied().unwrap_or_default()
    }
}

impl Router for LeastOutstanding {
    fn route(
        &mut self,
        _ctx: &mut Context<'_>,
        view: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal> {
        check_target(view, query)?;
        let all = candidates(view, &self.settings, query)?;
        let mut best = best_tier(&all);
        best.sort_by_key(|c| (self.outstanding_at(&c.member.vm), &c.member.vm));
        let runner_up = best.get(1).map(|c| c.member.vm.clone());
        Ok(best[0].route(runner_up, "fewest outstanding grants"))
    }

    fn on_answer(&mut self, _ctx: &mut Context<'_>, owner: &VmId, answer: &GrantAnswer) {
        if matches!(answer, GrantAnswer::Granted(_)) {
            *self.outstanding.entry(owner.clone()).or_default() += 1;
        }
    }

    fn on_end(&mut self, owner: &VmId, _upstream: &UpstreamId, _end: &GrantReport) {
        if let Some(count) = self.outstanding.get_mut(owner) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.outstanding.remove(owner);
            }
        }
    }
}
