//! Round-robin routing policy, a baseline to compare the cost policy with.

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

/// Asks the candidates in turn.
#[derive(Debug)]
pub(super) struct RoundRobin {
    settings: RoutingSettings,
    next_index: usize,
}

impl RoundRobin {
    pub(super) fn new(settings: RoutingSettings) -> Self {
        Self {
            settings,
            next_index: 0,
        }
    }
}

impl Router for RoundRobin {
    fn route(
        &mut self,
        _ctx: &mut Context<'_>,
        view: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal> {
        check_target(view, query)?;
        let all = candidates(view, &self.settings, query)?;
        let best = best_tier(&all);
        let chosen = &best[self.next_index % best.len()];
        self.next_index = self.next_index.wrapping_add(1);
        Ok(chosen.route(None, "next in turn"))
    }

    fn on_answer(&mut self, _ctx: &mut Context<'_>, _owner: &VmId, _answer: &GrantAnswer) {}

    fn on_end(&mut self, _owner: &VmId, _upstream: &UpstreamId, _end: &GrantReport) {}
}
