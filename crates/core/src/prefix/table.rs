//! The prompt parts that all upstreams hold, as far as this daemon knows.

use super::{
    report::REPORTS_MAX_LEN, statistics::PrefixStatistics, upstream_prefixes::UpstreamPrefixes,
    CachedPrefix, PrefixPart, PrefixReport, PrefixRetention, PrefixSettings, PromptPrefix,
};
use crate::{
    catalog::EngineProfile,
    fleet::UpstreamIncarnation,
    ids::{SendId, ServiceName, UpstreamId},
    units::{Millis, Time, Tokens},
};
use std::collections::BTreeMap;

/// Time for which reports to peers wait for others.
const REPORT_INTERVAL_MS: Millis = Millis::new(200);

/// Least saving that counts: times are predicted and measured in whole milliseconds. A part of 40 tokens saves a
/// fifth of one and moves no request.
const SAVED_MIN_MS: f64 = 1.0;

/// Shortest saving that first events can show: pauses between events are of that order.
const VERDICT_MIN_MS: f64 = 20.0;

/// Smallest saving that first events can show, as a share of the predicted time without it.
const VERDICT_MIN_RATIO: f64 = 0.25;

/// A transmission, by the number of its daemon at this one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DaemonSend {
    /// The daemon.
    pub daemon_index: u32,
    /// The transmission's number there.
    pub send: SendId,
}

/// An upstream that a request may go to.
#[derive(Clone, Copy, Debug)]
pub struct PrefixPlace<'a> {
    /// The upstream's service.
    pub service: &'a ServiceName,
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// KV memory that it has free beside the request.
    pub free_tokens: Tokens,
}

/// A request with a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PrefixRequest<'a> {
    /// Performance profile of the service's engines.
    pub profile: &'a EngineProfile,
    /// The parts of the prompt.
    pub prefix: &'a PromptPrefix,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
}

/// What the first event of a response showed of the prefix that was believed held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixVerdict {
    /// Whether the upstream held it.
    pub is_hit: bool,
    /// Tokens that were believed held.
    pub tokens: Tokens,
    /// Tokens of other prefixes that the upstream is no longer believed to hold.
    pub dropped_tokens: Tokens,
}

/// A request in flight.
#[derive(Clone, Debug)]
pub(super) struct PrefixUse {
    pub(super) upstream: UpstreamIncarnation,
    pub(super) service: ServiceName,
    pub(super) parts: Vec<PrefixPart>,
    pub(super) sent_at: Time,
    pub(super) believed: CachedPrefix,
    pub(super) predicted_ms: Option<f64>,
}

/// The prompt parts that all upstreams hold. Without settings it stays empty.
#[derive(Debug, Default)]
pub struct PrefixTable {
    settings: Option<PrefixSettings>,
    pub(super) upstreams: BTreeMap<UpstreamId, UpstreamPrefixes>,
    pub(super) in_flight: BTreeMap<DaemonSend, PrefixUse>,
    statistics: BTreeMap<ServiceName, PrefixStatistics>,
    pub(super) pending: Vec<PrefixReport>,
    pub(super) due_at: Option<Time>,
}

impl PrefixTable {
    /// An empty table; without settings it is off.
    pub fn new(settings: Option<PrefixSettings>) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Changes the settings. Without settings the table forgets everything.
    pub fn set_settings(&mut self, settings: Option<PrefixSettings>) {
        if settings.is_none() {
            *self = Self::default();
        }
        self.settings = settings;
    }

    /// Whether the table is on.
    pub const fn is_on(&self) -> bool {
        self.settings.is_some()
    }

    pub(super) fn retention(&self, service: &ServiceName) -> Option<PrefixRetention> {
        self.settings.as_ref()?.services.get(service).copied()
    }

    /// What an upstream holds of a prompt: of all leading parts, those whose expected saving is greatest.
    pub fn lookup(
        &self,
        now: Time,
        place: &PrefixPlace<'_>,
        request: &PrefixRequest<'_>,
    ) -> CachedPrefix {
        let retention = self.retention(place.service);
        let keep_tokens = keep_tokens(retention, place.free_tokens);
        let statistics = self
            .statistics
            .get(place.service)
            .copied()
            .unwrap_or_default();
        let known = self.upstreams.get(place.upstream);
        let known = known.filter(|known| known.started_unix_ms == place.started_unix_ms);
        let kept_tokens = known.map_or(Tokens::ZERO, |known| known.kept_tokens);
        let mut best = CachedPrefix::default();
        if let Some(known) = known {
            // If the kept parts exceed the memory that is left, some of them are gone.
            let pressure_ratio = keep_tokens.get() as f64 / kept_tokens.get().max(1) as f64;
            let scale_ratio = pressure_ratio.min(1.0) * statistics.hit_ratio();
            best = best_prefix(now, known, request, retention, scale_ratio);
        }
        if retention.is_some() {
            let new_tokens = request.prefix.tokens().saturating_sub(best.tokens);
            let room_tokens = keep_tokens.saturating_sub(kept_tokens);
            let displaced = new_tokens.saturating_sub(room_tokens).min(kept_tokens);
            let displaced_ms = displaced.get() as f64 / request.profile.prefill_tokens_per_ms;
            best.displaced_ms = displaced_ms * statistics.reuse_ratio();
        }
        best
    }

    /// Records a request that this daemon sent. `predicted_ms` is the time to its first event that was
    /// predicted with the expected saving.
    pub fn on_sent(
        &mut self,
        now: Time,
        id: DaemonSend,
        place: &PrefixPlace<'_>,
        request: &PrefixRequest<'_>,
        predicted_ms: Option<f64>,
    ) -> CachedPrefix {
        let believed = self.lookup(now, place, request);
        let statistics = self.statistics.entry(place.service.clone()).or_default();
        statistics.on_sent(believed.tokens, request.prefix.tokens());
        let upstream = UpstreamIncarnation {
            id: place.upstream.clone(),
            started_unix_ms: place.started_unix_ms,
        };
        let parts = request.prefix.parts().to_vec();
        if self.pending.len() < REPORTS_MAX_LEN {
            self.pending.push(PrefixReport {
                send: Some(id.send),
                upstream: upstream.clone(),
                parts: parts.clone(),
                cached_tokens: believed.expected_tokens(),
                used_ms: Millis::ZERO,
            });
            self.due_at.get_or_insert(now + REPORT_INTERVAL_MS);
        }
        let own = PrefixUse {
            upstream,
            service: place.service.clone(),
            parts,
            sent_at: now,
            believed,
            predicted_ms,
        };
        self.start(now, id, own, place.free_tokens);
        believed
    }

    pub(super) fn start(&mut self, now: Time, id: DaemonSend, own: PrefixUse, free_tokens: Tokens) {
        self.on_end(now, id);
        let retention = self.retention(&own.service);
        let Some(held) = self.current(&own.upstream) else {
            return;
        };
        held.acquire(now, &own.parts);
        shrink(held, now, retention, free_tokens);
        self.in_flight.insert(id, own);
    }

    /// The parts of a process, if it is the latest that is known of its upstream.
    pub(super) fn current(
        &mut self,
        upstream: &UpstreamIncarnation,
    ) -> Option<&mut UpstreamPrefixes> {
        let started_unix_ms = upstream.started_unix_ms;
        let held = self.upstreams.entry(upstream.id.clone());
        let held = held.or_insert_with(|| UpstreamPrefixes::new(started_unix_ms));
        if held.started_unix_ms < started_unix_ms {
            *held = UpstreamPrefixes::new(started_unix_ms);
        }
        (held.started_unix_ms == started_unix_ms).then_some(held)
    }

    /// Compares the first event of an own request with the prediction. Returns none if it shows nothing: little
    /// was to be saved, requests in flight made it certain, or the event came later than without the prefix.
    pub fn on_first_event(&mut self, now: Time, id: DaemonSend) -> Option<PrefixVerdict> {
        let own = self.in_flight.get_mut(&id)?;
        let believed = own.believed;
        let (predicted_ms, kept_since) = (own.predicted_ms.take()?, believed.kept_since?);
        let without_ms = predicted_ms + believed.expected_ms();
        let seen_ms = now.since(own.sent_at).get() as f64;
        let least_ms = VERDICT_MIN_MS.max(without_ms * VERDICT_MIN_RATIO);
        if believed.saved_ms < least_ms || seen_ms > without_ms + believed.saved_ms {
            return None;
        }
        let is_hit = seen_ms < without_ms - believed.saved_ms / 2.0;
        let (upstream, service) = (own.upstream.id.clone(), own.service.clone());
        self.statistics
            .entry(service)
            .or_default()
            .on_verdict(is_hit);
        // An upstream that dropped these parts has dropped those that were used before them too.
        let held = self.upstreams.get_mut(&upstream).filter(|_| !is_hit);
        let dropped = held.map(|held| held.drop_kept_until(kept_since));
        Some(PrefixVerdict {
            is_hit,
            tokens: believed.tokens,
            dropped_tokens: dropped.unwrap_or_default(),
        })
    }

    /// Records the end of a request.
    pub fn on_end(&mut self, now: Time, id: DaemonSend) {
        let Some(own) = self.in_flight.remove(&id) else {
            return;
        };
        let retention = self.retention(&own.service);
        let held = self.upstreams.get_mut(&own.upstream.id);
        let same = held.filter(|held| held.started_unix_ms == own.upstream.started_unix_ms);
        if let Some(held) = same {
            held.release(now, &own.parts);
            shrink(held, now, retention, Tokens::new(u64::MAX));
        }
    }

    /// Records the end of all requests of a daemon.
    pub fn end_daemon(&mut self, now: Time, daemon_index: u32) {
        let of_daemon = self.in_flight.keys();
        let of_daemon = of_daemon.filter(|id| id.daemon_index == daemon_index);
        for id in of_daemon.copied().collect::<Vec<_>>() {
            self.on_end(now, id);
        }
    }

    /// Drops all that an upstream is believed to hold. Returns the tokens that no request used.
    pub fn forget(&mut self, upstream: &UpstreamId) -> Tokens {
        let held = self.upstreams.remove(upstream);
        self.in_flight.retain(|_, own| own.upstream.id != *upstream);
        held.map_or(Tokens::ZERO, |held| held.kept_tokens)
    }

    /// Drops the parts that an upstream keeps without a request, as when it has stopped a request for lack of
    /// memory. Returns their tokens.
    pub fn forget_kept(&mut self, now: Time, upstream: &UpstreamId) -> Tokens {
        let held = self.upstreams.get_mut(upstream);
        held.map_or(Tokens::ZERO, |held| held.drop_kept_until(now))
    }
}

/// Tokens that an upstream can keep beside its requests.
fn keep_tokens(retention: Option<PrefixRetention>, free_tokens: Tokens) -> Tokens {
    retention.map_or(Tokens::ZERO, |retention| {
        retention.keep_tokens.min(free_tokens)
    })
}

pub(super) fn shrink(
    held: &mut UpstreamPrefixes,
    now: Time,
    retention: Option<PrefixRetention>,
    free_tokens: Tokens,
) {
    let keep_ms = retention.map_or(Millis::ZERO, |retention| retention.keep_ms);
    held.shrink(now, keep_ms, keep_tokens(retention, free_tokens));
}

/// The leading parts whose expected saving is greatest.
fn best_prefix(
    now: Time,
    known: &UpstreamPrefixes,
    request: &PrefixRequest<'_>,
    retention: Option<PrefixRetention>,
    scale_ratio: f64,
) -> CachedPrefix {
    // At least one token is always prefilled.
    let most_tokens = request.prompt_tokens.saturating_sub(Tokens::new(1));
    let mut best = CachedPrefix::default();
    let (mut tokens, mut held_ratio, mut kept_since) = (Tokens::ZERO, 1.0, None);
    let parts = request.prefix.parts();
    for part in known.parts.leading(parts.iter().map(|part| part.end)) {
        let own_ratio = part.held_ratio(now, retention);
        if own_ratio < 1.0 || part.users_len == 0 {
            held_ratio = f64::min(held_ratio, own_ratio * scale_ratio);
            kept_since = Some(kept_since.map_or(part.used_at, |at: Time| at.min(part.used_at)));
        }
        tokens = (tokens + part.tokens).min(most_tokens);
        let cached = CachedPrefix {
            tokens,
            saved_ms: request.profile.prefill_ms(tokens),
            probability_ratio: held_ratio,
            displaced_ms: 0.0,
            kept_since,
        };
        let least_ms = best.expected_ms().max(SAVED_MIN_MS);
        if cached.expected_ms() > least_ms {
            best = cached;
        }
    }
    best
}
