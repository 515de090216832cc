//! Placement of calls on upstreams.

use super::{
    choose_engine, choose_plain,
    contention::{hash_ratio, Contention},
    dispatcher::{Dispatcher, OpenCall, Out},
    Candidate, DispatchRecord, HelperAssignment, PlacementRequest, PromptSize, RefusalReason,
};
use crate::{
    catalog::EngineProfile,
    engine::EngineLoad,
    fleet::Upstream,
    ids::{CallId, ServiceName, UpstreamId, VmId},
    units::{Millis, Time, Tokens},
};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// First events that are expected within this time are not reported to peers.
const UNREPORTED_FIRST_EVENT_MAX_MS: Millis = Millis::new(500);

/// Range of the pseudo-random cost per peer. It makes daemons that can't see each other's choices
/// choose different upstreams: a hundred peers spread over a third of the order.
const JITTER_PER_PEER: f64 = 0.0016;

/// The upstream and helpers that were found for a call.
#[derive(Debug)]
pub(super) struct Placement {
    pub(super) upstream: UpstreamId,
    pub(super) helpers: Vec<HelperAssignment>,
    pub(super) memory_tokens: Tokens,
    pub(super) predicted_ms: Option<f64>,
}

impl Placement {
    /// A placement on an upstream that is not an engine.
    fn plain(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            helpers: Vec::new(),
            memory_tokens: Tokens::ZERO,
            predicted_ms: None,
        }
    }

    /// Predicted time to the first event if it is too short for that event to be reported to peers.
    pub(super) fn unreported_first_event_ms(&self) -> Option<Millis> {
        let first_ms = Millis::new(self.predicted_ms? as u64);
        (self.helpers.is_empty() && first_ms <= UNREPORTED_FIRST_EVENT_MAX_MS).then_some(first_ms)
    }

    /// The upstream and the helpers.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        let helpers = self.helpers.iter().map(|helper| &helper.upstream);
        std::iter::once(&self.upstream).chain(helpers)
    }

    /// Whether helpers hold part of the prompt's KV memory.
    fn needs_reservations(&self) -> bool {
        self.helpers
            .iter()
            .any(|helper| helper.memory_tokens > Tokens::ZERO)
    }
}

impl Dispatcher {
    /// Sends a call to an upstream, queues it, or refuses it.
    pub(super) fn place_call(&mut self, out: &mut Out<'_>, id: CallId) {
        if self.is_quarantined(out.now, id) {
            return self.give_up(out, id, RefusalReason::Quarantined);
        }
        let Some(open) = self.calls.get(&id) else {
            return;
        };
        if self.fleet.usable(&open.service.name).next().is_none() {
            return self.give_up(out, id, RefusalReason::NoUpstream);
        }
        if !self.has_promise_due(out.now, open) && self.yields_slots(out.now, open) {
            return self.give_up(out, id, RefusalReason::NoCapacity);
        }
        if let Some(over) = self.over_share(out.now, open) {
            return if self.may_wait_for_share(out, open, over) {
                self.enqueue(out, id)
            } else {
                self.give_up(out, id, RefusalReason::NoCapacity)
            };
        }
        match self.find_unkept_placement(out.now, open) {
            Ok(placement) => self.start(out, id, placement),
            Err(RefusalReason::NoCapacity)
                if self.may_queue(out.now, open, self.queue_position(id)) =>
            {
                self.enqueue(out, id);
            }
            Err(reason) => self.give_up(out, id, reason),
        }
    }

    /// Sends a call to its placement, after reserving memory if the helpers hold any.
    pub(super) fn start(&mut self, out: &mut Out<'_>, id: CallId, placement: Placement) {
        if placement.needs_reservations() {
            self.reserve(out, id, placement);
        } else {
            self.send(out, id, placement);
        }
    }

    /// Estimated number of calls queued before this one at all daemons, as many at each as at this one.
    fn queue_position(&self, id: CallId) -> usize {
        let own = self
            .waiting
            .iter()
            .take_while(|waiting| **waiting != id)
            .count();
        own * self.members_len()
    }

    fn enqueue(&mut self, out: &mut Out<'_>, id: CallId) {
        self.count_unserved(out.now, id);
        if !self.waiting.contains(&id) {
            self.waiting.push_back(id);
        }
        let waiting_len = self.waiting.len();
        let Some(open) = self.calls.get_mut(&id) else {
            return;
        };
        if open.waiting_since.is_none() {
            open.waiting_since = Some(out.now);
            out.log(DispatchRecord::Waits {
                request: Arc::clone(&open.call.request_id),
                service: open.service.name.clone(),
                waiting_len,
            });
        }
    }

    /// Tries to place the queued calls, the most urgent first.
    pub(super) fn place_waiting(&mut self, out: &mut Out<'_>) {
        let mut waiting: Vec<_> = std::mem::take(&mut self.waiting).into();
        waiting.retain(|id| {
            self.calls
                .get(id)
                .is_some_and(|open| open.sending.is_none() && open.reserving.is_none())
        });
        waiting.sort_by_cached_key(|id| {
            self.calls
                .get(id)
                .map(|open| self.queue_order(out.now, open))
        });
        for id in waiting {
            self.place_call(out, id);
        }
    }

    /// Finds the best upstream for a call.
    pub(super) fn find_placement(
        &self,
        now: Time,
        open: &OpenCall,
    ) -> Result<Placement, RefusalReason> {
        let mut candidates = self.candidates(now, open);
        if candidates.is_empty() {
            let mut usable = self.fleet.usable(&open.service.name);
            let all_excluded = usable.all(|upstream| open.excluded.contains(&upstream.record.id));
            return Err(if all_excluded {
                RefusalReason::UpstreamsRefused
            } else {
                RefusalReason::NoCapacity
            });
        }
        match (&open.service.engine, open.call.prompt) {
            (Some(profile), Some(prompt)) => {
                self.find_engine(now, open, profile, prompt, &candidates)
            }
            _ => {
                let index = choose_plain(&candidates).ok_or(RefusalReason::NoCapacity)?;
                Ok(Placement::plain(candidates.swap_remove(index).upstream))
            }
        }
    }

    /// Finds the best engine for a prompt, and helpers to prefill it.
    fn find_engine(
        &self,
        now: Time,
        open: &OpenCall,
        profile: &EngineProfile,
        prompt: PromptSize,
        candidates: &[Candidate],
    ) -> Result<Placement, RefusalReason> {
        let total_tokens = prompt.prompt_tokens + prompt.output_tokens;
        let fits =
            |engines_len: usize| total_tokens.get() <= profile.kv_tokens.get() * engines_len as u64;
        if !fits(self.fleet.usable(&open.service.name).count()) {
            return Err(RefusalReason::TooLarge);
        }
        if !fits(candidates.len()) {
            return Err(RefusalReason::NoCapacity);
        }
        let catalog = self.catalog.as_ref();
        let left_ms = open.first_event_deadline().since(now).get() as f64;
        let placement_request = PlacementRequest {
            profile,
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: prompt.output_tokens,
            target_ms: open.on_time_deadline().since(now).get() as f64,
            left_ms,
            gaps: self.gap_request(open),
            min_pause_target_ms: catalog.and_then(|c| c.min_pause_target_ms(&open.service.name)),
        };
        let choice =
            choose_engine(candidates, &placement_request).ok_or(RefusalReason::NoCapacity)?;
        if choice.prediction.first_event_ms > left_ms {
            let prefill_ms = profile.prefill_ms(prompt.prompt_tokens) / candidates.len() as f64;
            return Err(if prefill_ms > left_ms {
                RefusalReason::TooLarge
            } else {
                RefusalReason::NoCapacity
            });
        }
        let reserves = choice
            .helpers
            .iter()
            .any(|(_, memory_tokens)| *memory_tokens > Tokens::ZERO);
        let unused_limit_ms = self.unused_limit_ms().get() as f64;
        if reserves && choice.prediction.first_event_ms > unused_limit_ms {
            return Err(RefusalReason::NoCapacity);
        }
        let upstream = |index: usize| candidates[index].upstream.clone();
        let helper = |(index, memory_tokens): &(usize, Tokens)| HelperAssignment {
            upstream: upstream(*index),
            memory_tokens: *memory_tokens,
        };
        Ok(Placement {
            upstream: upstream(choice.candidate_index),
            memory_tokens: total_tokens.saturating_sub(choice.prediction.missing_tokens),
            helpers: choice.helpers.iter().map(helper).collect(),
            predicted_ms: Some(choice.prediction.first_event_ms),
        })
    }

    /// Pseudo-random cost of an upstream for one call, in proportion to the number of peers.
    fn jitter_cost(&self, open: &OpenCall, upstream: &UpstreamId) -> f64 {
        let drawn = hash_ratio(&format!(
            "{}\n{}\n{upstream}",
            self.vm, open.call.request_id
        ));
        let peers_len = self.members_len() as f64 - 1.0;
        drawn * peers_len * JITTER_PER_PEER
    }

    /// Whether most upstreams of a service are ejected. Trying them again soon is then better than
    /// refusing calls.
    fn mostly_ejected(&self, now: Time, service: &ServiceName) -> bool {
        let (mut ejected_len, mut usable_len) = (0, 0);
        for upstream in self.fleet.usable(service) {
            usable_len += 1;
            ejected_len += usize::from(self.health.get(&upstream.record.id).is_ejected(now));
        }
        ejected_len * 2 > usable_len
    }

    /// Upstreams that a call may go to now, in an order that all daemons share. Upstreams in the failure
    /// domain where the call's last transmission was lost are included only if there are no others.
    fn candidates(&self, now: Time, open: &OpenCall) -> Vec<Candidate> {
        let service = &open.service.name;
        let most_ejected = self.mostly_ejected(now, service);
        let contention = self.claim_contention(now, open);
        let usable = self.fleet.usable(service);
        let probing = self.all_back_off(now, service);
        let free = usable.filter(|upstream| {
            self.backoff_allows(now, upstream, probing)
                && self.bears_body(now, open, &upstream.record.id)
                && self.has_room(now, open, upstream, most_ejected, contention)
        });
        let is_lost =
            |upstream: &&Upstream| open.lost_domain.as_ref() == Some(&upstream.record.domain);
        let (lost, elsewhere): (Vec<_>, Vec<_>) = free.partition(is_lost);
        let chosen = if elsewhere.is_empty() {
            lost
        } else {
            elsewhere
        };
        let candidate = |upstream: &Upstream| self.candidate(now, open, upstream);
        let mut candidates: Vec<_> = chosen.into_iter().map(candidate).collect();
        let own = self.peers.is_empty().then_some(&self.vm);
        candidates.sort_by_cached_key(|candidate| order_key(&candidate.upstream, own));
        candidates
    }

    /// The competition for free slots and for what rate limits leave; none for a call that need not compete.
    fn claim_contention(&self, now: Time, open: &OpenCall) -> Option<Contention> {
        let service = &open.service.name;
        let mut usable = self.fleet.usable(service);
        let competes = open.service.engine.is_some()
            || usable.any(|upstream| self.rate_limits.per_s(&upstream.record.id).is_some());
        (competes && open.first_at.is_none()).then(|| self.contention(now, service))
    }

    /// Whether an upstream that was chosen a moment ago may still get new work.
    pub(super) fn takes_work(&self, now: Time, upstream: &UpstreamId) -> bool {
        let known = self.fleet.get(upstream);
        known.is_some_and(|known| self.fleet.is_in_service(known))
            && !self.backoff.is_active(now, upstream)
            && self.rate_credit_len(now, upstream) != Some(0)
    }

    /// Whether an upstream has room for a call now and this daemon may use it.
    fn has_room(
        &self,
        now: Time,
        open: &OpenCall,
        upstream: &Upstream,
        most_ejected: bool,
        contention: Option<Contention>,
    ) -> bool {
        let record = &upstream.record;
        let health = self.health.get(&record.id);
        let ejected = if most_ejected {
            health.failed_recently(now)
        } else {
            health.is_ejected(now)
        };
        let cold_left_len = self.cold_left_len(now, open.service.cold_per_s, upstream);
        let ejected = ejected || health.is_on_trial(now);
        let rate_credit_len = self.rate_credit_len(now, &record.id);
        let left_len = cold_left_len.min(rate_credit_len.unwrap_or(usize::MAX));
        if ejected || left_len == 0 || open.excluded.contains(&record.id) {
            return false;
        }
        let slots_len = record.slots_len as usize;
        let requests_len = self.in_flight.requests_len(&record.id);
        if open.service.engine.is_none() && requests_len >= 2 * slots_len.max(1) {
            return false;
        }
        let free_len = slots_len.saturating_sub(requests_len);
        let free_len = free_len.max(1).min(left_len);
        let competes = open.service.engine.is_some() || rate_credit_len.is_some();
        let contention = contention.filter(|_| competes);
        contention.is_none_or(|contention| self.may_claim(contention, &record.id, free_len))
    }

    pub(super) fn candidate(&self, now: Time, open: &OpenCall, upstream: &Upstream) -> Candidate {
        let record = &upstream.record;
        let slowdown = self.slowdown(now, open, upstream);
        let load_of = |profile| {
            let profile = self.profile_at_speed(now, &record.id, profile);
            self.in_flight.engine_load(now, &record.id, &profile)
        };
        let engine = open.service.engine.as_ref();
        let load = engine.map_or_else(EngineLoad::default, load_of);
        Candidate {
            upstream: record.id.clone(),
            prefix: self.cached_prefix(now, open, upstream, &load),
            load,
            requests_len: self.in_flight.requests_len(&record.id),
            recent_requests: self.slow_start.recent_len(now, &record.id),
            slots_len: record.slots_len,
            health: self.health.get(&record.id),
            same_domain: record.domain == self.domain,
            jitter_requests: self.jitter_cost(open, &record.id),
            slowdown,
        }
    }
}

/// Sort key of an upstream. All connected daemons share one order. A daemon without peers passes its
/// name as `own` and gets a different order, so that daemons that can't see each other's requests do
/// not fill the same upstreams.
fn order_key(upstream: &UpstreamId, own: Option<&VmId>) -> u64 {
    match own {
        Some(vm) => xxh3_64(format!("{vm}\n{upstream}").as_bytes()),
        None => xxh3_64(upstream.as_str().as_bytes()),
    }
}
