//! Takes calls in and finds upstreams for them.

use super::{
    choose_engine, choose_plain,
    dispatcher::{Dispatcher, OpenCall, Out, Sending},
    ledger::{work_start, OWN},
    Call, Candidate, DispatchAction, DispatchRecord, Helper, Phase, Reason, Refusal, SendPlan,
    Wanted, Work, WorkId, WorkNote,
};
use crate::{
    catalog::{CallKind, Catalog, KeyHolder, Route, Service},
    engine::EngineLoad,
    ids::{CallId, UpstreamId},
    units::{Millis, Time, Tokens},
};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Pause that callers are told where upstreams are missing or fail.
const RETRY_AFTER_MS: Millis = Millis::new(500);

/// Pause that callers are told while nothing is known yet, as after a start.
const START_RETRY_MS: Millis = Millis::new(300);

/// Silence before the first event that is borne at least, on top of a multiple of the prediction.
const FIRST_TIMEOUT_MIN_MS: Millis = Millis::new(1_500);

/// Multiple of the predicted first event after which an engine counts as stalled.
const FIRST_TIMEOUT_FACTOR: f64 = 3.0;

/// Multiple of the pause target after which an engine counts as stalled.
const PAUSE_TIMEOUT_FACTOR: u64 = 5;

/// Least silence between events that is borne: servers stall that long beside a dead one.
const PAUSE_TIMEOUT_MIN_MS: Millis = Millis::new(1_600);

/// Part of an upstream's connections that all daemons use together.
const CONNECTION_RATIO: f64 = 0.8;

/// What a call that is taken in is held to.
struct Admitted {
    route: Arc<Route>,
    service: Arc<Service>,
    holder: Option<KeyHolder>,
}

/// Where a call goes.
pub(super) struct Place {
    upstream: UpstreamId,
    helpers: Vec<UpstreamId>,
    predicted_ms: Option<f64>,
}

impl Dispatcher {
    /// A caller's request is here, whole.
    pub(super) fn on_arrived(&mut self, out: &mut Out<'_>, call: Call) {
        let id = call.id;
        match self.admit(out.now, &call) {
            Err(refusal) => self.refuse_new(out, &call, refusal),
            Ok(Admitted {
                route,
                service,
                holder,
            }) => {
                self.budget.on_call(out.now, &service.name);
                let age_ms = call.age_ms;
                let limit_ms = call
                    .deadline_ms
                    .map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
                let arrived_at = out.now - age_ms;
                let open = OpenCall {
                    arrived_at,
                    due_at: arrived_at + limit_ms,
                    call,
                    route,
                    service,
                    holder,
                    tried: Vec::new(),
                    reached_count: 0,
                    tries_count: 0,
                    sending: None,
                    first_at: None,
                    may_have_run: false,
                    waiting_since: None,
                };
                self.calls.insert(id, open);
                self.place(out, id);
            }
        }
    }

    /// Whether a call may be served: its route, service and the holder of its key.
    fn admit(&self, now: Time, call: &Call) -> Result<Admitted, Refusal> {
        let refuse = |reason, retry_after_ms| Refusal {
            reason,
            may_have_run: false,
            retry_after_ms,
        };
        let wait = Some(START_RETRY_MS);
        let catalog: &Catalog = match &self.catalog {
            Some(catalog) => catalog,
            None => return Err(refuse(Reason::NoCatalog, wait)),
        };
        if self.refuses_new(now) {
            return Err(refuse(Reason::Stopping, Some(Millis::ZERO)));
        }
        if !self.keys_are_fresh(now) {
            return Err(refuse(Reason::KnowledgeTooOld, wait));
        }
        let no_route = || refuse(Reason::NoRoute, None);
        let route = catalog.route(&call.host, &call.path).ok_or_else(no_route)?;
        let key = call.key.as_ref();
        let holder = key.and_then(|key| catalog.holder(key)).cloned();
        if catalog.needs_keys() && !route.open && holder.is_none() {
            return Err(refuse(Reason::WrongKey, None));
        }
        let target = route.target(&call.tag);
        let service = target.and_then(|target| catalog.service(&target.service));
        let service = service.ok_or_else(no_route)?;
        Ok(Admitted {
            route: Arc::clone(route),
            service: Arc::clone(service),
            holder,
        })
    }

    /// Finds an upstream for a call, or lets it wait, or refuses it.
    pub(super) fn place(&mut self, out: &mut Out<'_>, id: CallId) {
        let Some(open) = self.calls.get(&id) else {
            return;
        };
        if self.fleet.usable(&open.service.name).next().is_none() {
            return self.give_up(out, id, Reason::NoUpstream);
        }
        match self.find(out.now, open) {
            Ok(place) => self.send(out, id, place),
            Err(Reason::NoCapacity) if self.may_wait(out.now, open, self.line_place(id)) => {
                self.wait(out, id);
            }
            Err(reason) => self.give_up(out, id, reason),
        }
    }

    /// Callers who wait before this one, at all daemons.
    fn line_place(&self, id: CallId) -> usize {
        let own = self
            .waiting
            .iter()
            .take_while(|waiting| **waiting != id)
            .count();
        own * self.daemons_len()
    }

    fn wait(&mut self, out: &mut Out<'_>, id: CallId) {
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
                request: Arc::clone(&open.call.tag),
                service: open.service.name.clone(),
                waiting_len,
            });
        }
    }

    /// Tries to place the calls that wait, the most urgent first.
    pub(super) fn place_waiting(&mut self, out: &mut Out<'_>) {
        let mut waiting: Vec<_> = std::mem::take(&mut self.waiting).into();
        waiting.retain(|id| {
            self.calls
                .get(id)
                .is_some_and(|open| open.sending.is_none())
        });
        waiting.sort_by_key(|id| {
            self.calls
                .get(id)
                .map(|open| (open.rank(), open.on_time_until()))
        });
        for id in waiting {
            self.place(out, id);
        }
    }

    /// The best upstream for a call now.
    pub(super) fn find(&self, now: Time, open: &OpenCall) -> Result<Place, Reason> {
        let mut candidates = self.candidates(now, open);
        if candidates.is_empty() {
            return Err(Reason::NoCapacity);
        }
        let (Some(profile), Some(prompt)) = (&open.service.engine, open.call.prompt) else {
            let index = choose_plain(&candidates).ok_or(Reason::NoCapacity)?;
            let upstream = candidates.swap_remove(index).upstream;
            return Ok(Place {
                upstream,
                helpers: Vec::new(),
                predicted_ms: None,
            });
        };
        let whole_tokens = prompt.prompt_tokens + prompt.output_tokens;
        if whole_tokens > profile.kv_tokens {
            return Err(Reason::TooLarge);
        }
        let catalog = self.catalog.as_ref();
        let wanted = Wanted {
            profile,
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: prompt.output_tokens,
            target_ms: open.on_time_until().since(now).get() as f64,
            tightest_pause_ms: catalog.and_then(|c| c.tightest_pause_ms(&open.service.name)),
        };
        let choice = choose_engine(&candidates, &wanted).ok_or(Reason::NoCapacity)?;
        if choice.prediction.first_event_ms > open.left_ms(now).get() as f64 {
            return Err(Reason::TooLarge);
        }
        let upstream = |index: &usize| candidates[*index].upstream.clone();
        Ok(Place {
            upstream: upstream(&choice.index),
            helpers: choice.helpers.iter().map(upstream).collect(),
            predicted_ms: Some(choice.prediction.first_event_ms),
        })
    }

    /// Upstreams that a call may go to now, in an order that all daemons agree on.
    fn candidates(&self, now: Time, open: &OpenCall) -> Vec<Candidate<UpstreamId>> {
        let mut candidates = Vec::new();
        for upstream in self.fleet.usable(&open.service.name) {
            let record = &upstream.record;
            let health = self.health.get(&record.id);
            let cold = now < upstream.cold_until && open.service.cold_per_s > 0.0;
            let cold_full = cold
                && self.cold.recent_len(now, &record.id) as f64 + 1.0 > open.service.cold_per_s;
            if health.rests(now) || cold_full || open.tried.contains(&record.id) {
                continue;
            }
            let requests_len = self.ledger.requests_len(&record.id);
            let engine = open.service.engine.as_ref();
            if engine.is_none() && requests_len >= 2 * record.slots.max(1) as usize {
                continue;
            }
            let load = |profile| self.ledger.engine_load(now, &record.id, profile);
            candidates.push(Candidate {
                upstream: record.id.clone(),
                load: engine.map_or_else(EngineLoad::default, load),
                requests_len,
                slots: record.slots,
                health,
                near: record.domain == self.domain,
            });
        }
        candidates.sort_by_cached_key(|c| xxh3_64(c.upstream.as_str().as_bytes()));
        candidates
    }

    fn send(&mut self, out: &mut Out<'_>, id: CallId, place: Place) {
        let knowledge_ms = self.knowledge_ms(out.now).unwrap_or_default();
        let load_requests = self.ledger.requests_len(&place.upstream);
        let daemons_len = self.daemons_len();
        let catalog = self
            .catalog
            .as_ref()
            .map(|c| c.version())
            .unwrap_or_default();
        let address = |id: &UpstreamId| {
            self.fleet.get(id).map(|helper| Helper {
                address: helper.record.address,
                ticket: None,
            })
        };
        let helpers: Vec<_> = place.helpers.iter().filter_map(address).collect();
        let (Some(open), Some(upstream)) =
            (self.calls.get_mut(&id), self.fleet.get(&place.upstream))
        else {
            return;
        };
        self.last_send = self.last_send.next();
        let send = self.last_send;
        open.tries_count += 1;
        open.tried.push(place.upstream.clone());
        open.sending = Some(Sending {
            send,
            upstream: place.upstream.clone(),
            sent_at: out.now,
            predicted_ms: place.predicted_ms,
        });
        let left_ms = open.left_ms(out.now);
        out.log(DispatchRecord::Sent {
            request: Arc::clone(&open.call.tag),
            route: open.route.name.clone(),
            send,
            upstream: place.upstream.clone(),
            domain: upstream.record.domain.clone(),
            try_count: open.tries_count,
            load_requests,
            predicted_ms: place.predicted_ms.map(|ms| Millis::new(ms as u64)),
            helpers_len: place.helpers.len(),
            left_ms,
            catalog,
            knowledge_ms,
        });
        let connections = f64::from(open.service.max_connections) * CONNECTION_RATIO;
        out.act(DispatchAction::Send(Box::new(SendPlan {
            call: id,
            send,
            upstream: place.upstream.clone(),
            address: upstream.record.address,
            connections_max_len: (connections / daemons_len as f64).max(1.0) as u32,
            workspace: open.holder.as_ref().map(|holder| holder.workspace.clone()),
            deadline_ms: left_ms,
            repeatable: open.route.kind.repeatable(),
            streaming: matches!(open.route.kind, CallKind::Streaming { .. }),
            first_timeout_ms: first_timeout_ms(left_ms, place.predicted_ms),
            pause_timeout_ms: pause_timeout_ms(&open.route),
            helpers,
        })));
        let work = open.work(out.now, &place);
        let start = work_start(out.now, send, &work, place.helpers.clone());
        out.tell_all(WorkNote::Started(start));
        self.cold.on_sent(out.now, &place.upstream);
        let id = WorkId {
            daemon_index: OWN,
            send,
            part_index: 0,
        };
        self.ledger.start(id, &work, &place.helpers);
    }

    fn refuse_new(&mut self, out: &mut Out<'_>, call: &Call, refusal: Refusal) {
        out.log(DispatchRecord::Refused {
            request: Arc::clone(&call.tag),
            route: None,
            reason: refusal.reason,
            may_have_run: false,
            retry_after_ms: refusal.retry_after_ms,
            tries_count: 0,
            usable_len: 0,
            catalog: self.catalog.as_ref().map(|c| c.version()),
            knowledge_ms: self.knowledge_ms(out.now),
            age_ms: call.age_ms,
        });
        out.act(DispatchAction::Refuse {
            call: call.id,
            refusal,
        });
    }

    /// Pause after which a caller who is refused for this reason has a chance.
    pub(super) fn retry_after_ms(
        &self,
        now: Time,
        open: &OpenCall,
        reason: Reason,
    ) -> Option<Millis> {
        match reason {
            Reason::NoCapacity => Some(self.place_after_ms(now, open)),
            Reason::NoCatalog | Reason::KnowledgeTooOld => Some(START_RETRY_MS),
            Reason::Stopping => Some(Millis::ZERO),
            Reason::NoUpstream | Reason::UpstreamsRefused => Some(RETRY_AFTER_MS),
            _ => None,
        }
    }
}

impl OpenCall {
    /// Rank of the call, 0 first.
    pub(super) fn rank(&self) -> u8 {
        let own = self.holder.as_ref().and_then(|holder| holder.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Until when an answer is on time.
    pub(super) fn on_time_until(&self) -> Time {
        self.arrived_at + self.route.target_latency_ms
    }

    fn work(&self, now: Time, place: &Place) -> Work {
        let size = self.call.prompt;
        let pause_target_ms = match self.route.kind {
            CallKind::Streaming {
                pause_target_ms, ..
            } => pause_target_ms,
            CallKind::Idempotent | CallKind::NonIdempotent => Millis::ZERO,
        };
        Work {
            upstream: place.upstream.clone(),
            prompt_tokens: size.map_or(Tokens::ZERO, |size| size.prompt_tokens),
            output_tokens: size.map_or(Tokens::ZERO, |size| size.output_tokens),
            pause_target_ms,
            parts_len: place.helpers.len() as u32 + 1,
            sent_at: now,
            phase: Phase::Reading,
        }
    }
}

fn first_timeout_ms(left_ms: Millis, predicted_ms: Option<f64>) -> Millis {
    let Some(predicted_ms) = predicted_ms else {
        return left_ms;
    };
    let borne_ms = Millis::new((predicted_ms * FIRST_TIMEOUT_FACTOR) as u64);
    (borne_ms + FIRST_TIMEOUT_MIN_MS).min(left_ms)
}

fn pause_timeout_ms(route: &Route) -> Millis {
    match route.kind {
        CallKind::Streaming {
            pause_target_ms, ..
        } => {
            let borne_ms = Millis::new(pause_target_ms.get() * PAUSE_TIMEOUT_FACTOR);
            borne_ms.max(PAUSE_TIMEOUT_MIN_MS)
        }
        CallKind::Idempotent | CallKind::NonIdempotent => route.timeout_ms,
    }
}
