//! Summarises the free capacity of the owned upstreams for other daemons.

use super::{
    account::UpstreamAccount, owner::Owner, priority_level::PriorityLevel, queue::Lane,
    settings::LongPromptPlacement,
};
use crate::{
    config::UpstreamKind,
    context::View,
    ids::{ModelVersion, ServiceName, UpstreamId},
    message::{CapacitySummary, ModelCapacity},
    routing::RoutingPolicy,
    units::{KvBytes, Millis, Time, Tokens},
};
use std::collections::BTreeMap;

/// Wait that an owner reports if none of its upstreams takes such requests.
pub(super) const NO_CAPACITY_WAIT_MS: Millis = Millis::new(600_000);

/// Free KV memory above which an engine counts as taking a short prompt without a wait.
const SHORT_HEADROOM_TOKENS: Tokens = Tokens::new(16_000);
/// Free KV memory above which an engine counts as taking a long prompt without a wait.
const LONG_HEADROOM_TOKENS: Tokens = Tokens::new(100_000);

/// Status of one owned upstream, for operators and plans.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnedUpstreamStatus {
    /// Calls in flight.
    pub in_flight_requests: u32,
    /// Configured limit of calls in flight.
    pub limit_requests: u32,
    /// KV memory reserved for grants.
    pub kv_held_bytes: KvBytes,
    /// Loaded models, as last reported.
    pub models: Vec<ModelVersion>,
}

impl Owner {
    /// Capacity of the owned upstreams at `now`.
    pub fn summary(&self, now: Time, view: &View<'_>) -> CapacitySummary {
        let mut models: BTreeMap<ModelVersion, ModelCapacity> = BTreeMap::new();
        let mut services: BTreeMap<ServiceName, u32> = BTreeMap::new();
        let serving = self
            .accounts
            .iter()
            .filter(|(_, a)| a.drained_since.is_none());
        for (id, account) in serving.filter(|_| !self.leaving) {
            let free_requests = self.free_slots(now, account);
            match &account.config.kind {
                UpstreamKind::Service(name) => {
                    *services.entry(name.clone()).or_default() += free_requests;
                }
                UpstreamKind::Engine(_) => {
                    let report = account.report.iter();
                    for version in report.flat_map(|report| report.models.keys()) {
                        let capacity = models.entry(version.clone()).or_default();
                        self.add_engine(now, view, (id, account), version, capacity);
                    }
                }
            }
        }
        CapacitySummary {
            models: models.into_iter().collect(),
            services: services.into_iter().collect(),
            short_busy_permille: self.demand_permille(now, Lane::Short),
            long_busy_permille: self.demand_permille(now, Lane::Long),
        }
    }

    fn add_engine(
        &self,
        now: Time,
        view: &View<'_>,
        (id, account): (&UpstreamId, &UpstreamAccount),
        version: &ModelVersion,
        capacity: &mut ModelCapacity,
    ) {
        let model = view.config.models.get(version);
        let per_token = model.map_or(1, |m| m.kv_bytes_per_token.get().max(1));
        let context = model.map_or(Tokens::ZERO, |m| m.context_tokens);
        let capacity_tokens = Tokens::new(account.kv_total().get() / per_token);
        if capacity.engines == 0 {
            capacity.short_wait_ms = NO_CAPACITY_WAIT_MS;
            capacity.long_wait_ms = NO_CAPACITY_WAIT_MS;
        }
        capacity.engines += 1;
        capacity.free_requests += self.free_slots(now, account);
        capacity.free_kv_bytes += account.kv_free(now);
        capacity.max_prompt_tokens = capacity.max_prompt_tokens.max(capacity_tokens.min(context));
        let headroom = |tokens: Tokens| tokens.kv_bytes(KvBytes::new(per_token));
        let short = self.predicted_wait(
            now,
            account,
            PriorityLevel::Medium,
            headroom(SHORT_HEADROOM_TOKENS),
        );
        capacity.short_wait_ms = capacity.short_wait_ms.min(short);
        let takes_long = self.long_prompt_engines.contains(id)
            || self.settings.long_placement == LongPromptPlacement::Anywhere
            || self.settings.policy != RoutingPolicy::Cost;
        if takes_long {
            let long = self.predicted_wait(
                now,
                account,
                PriorityLevel::Huge,
                headroom(LONG_HEADROOM_TOKENS),
            );
            capacity.long_wait_ms = capacity.long_wait_ms.min(long);
        }
    }

    fn predicted_wait(
        &self,
        now: Time,
        account: &UpstreamAccount,
        level: PriorityLevel,
        headroom: KvBytes,
    ) -> Millis {
        let lane = if level >= PriorityLevel::Long {
            Lane::Long
        } else {
            Lane::Short
        };
        let queued = self.queue.prefill_ms(lane).get();
        let queued = Millis::new(queued / self.accounts.len().max(1) as u64);
        let prefill = account.backlog.wait_for(now, level) + queued;
        if self.free_slots(now, account) > 0 && account.kv_free(now) >= headroom {
            return prefill;
        }
        let ends = account
            .active_grants()
            .map(|(_, h)| h.expected_end.since(now));
        prefill + ends.min().unwrap_or(self.settings.poll_ms)
    }

    fn free_slots(&self, now: Time, account: &UpstreamAccount) -> u32 {
        let limit = account.in_flight_limit(now, self.settings.learning_percent);
        limit.saturating_sub(account.slots_in_use(now))
    }

    /// Predicted wait of the next request of a lane, at the upstream with the shortest wait.
    pub(super) fn lane_wait(&self, now: Time, view: &View<'_>, lane: Lane) -> Millis {
        let summary = self.summary(now, view);
        shortest_wait(&summary, lane).unwrap_or(NO_CAPACITY_WAIT_MS)
    }

    /// Status of an owned upstream; none if this daemon does not own it.
    pub fn status(&self, upstream: &UpstreamId) -> Option<OwnedUpstreamStatus> {
        let account = self.accounts.get(upstream)?;
        let report = account.report.iter();
        Some(OwnedUpstreamStatus {
            in_flight_requests: account.in_flight(),
            limit_requests: account.limit_requests,
            kv_held_bytes: account.kv_held(),
            models: report.flat_map(|r| r.models.keys().cloned()).collect(),
        })
    }
}

/// The shortest wait that a summary reports for a lane.
pub(super) fn shortest_wait(summary: &CapacitySummary, lane: Lane) -> Option<Millis> {
    let waits = summary.models.iter().map(|(_, capacity)| match lane {
        Lane::Short => capacity.short_wait_ms,
        Lane::Long => capacity.long_wait_ms,
    });
    waits.min()
}
