//! Table of the requests in flight at all upstreams, as far as this daemon knows.

use super::{HelperAssignment, InFlightEntry, InFlightId, InFlightReport, Phase};
use crate::{
    catalog::EngineProfile,
    engine::{DecodingRequest, EngineLoad, PendingPrefill},
    ids::{SendId, UpstreamId},
    units::{Time, Tokens},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Index of this daemon in the table.
pub(super) const OWN_DAEMON_INDEX: u32 = 0;

/// Prompt tokens that weigh as much as a request without a prompt.
const TOKENS_PER_WEIGHT: f64 = 10_000.0;

/// Weight of a call with a prompt of this size, in requests without a prompt. A late answer to a
/// longer prompt costs its caller more, because more work waits for the answer.
pub(super) fn prompt_weight_requests(prompt_tokens: Tokens) -> f64 {
    1.0 + prompt_tokens.get() as f64 / TOKENS_PER_WEIGHT
}

/// The requests in flight at all upstreams: this daemon's own and those that its peers reported.
#[derive(Debug, Default)]
pub struct InFlightTable {
    entries: BTreeMap<InFlightId, InFlightEntry>,
    by_upstream: HashMap<UpstreamId, BTreeSet<InFlightId>>,
    prefill_since: HashMap<UpstreamId, Time>,
}

impl InFlightTable {
    /// Adds a request that was sent, and its parts at the engines that prefill it.
    pub fn start(&mut self, id: InFlightId, entry: &InFlightEntry, helpers: &[HelperAssignment]) {
        self.add(id, entry.clone());
        for (part_index, helper) in (1..).zip(helpers) {
            let part = InFlightEntry {
                upstream: helper.upstream.clone(),
                memory_tokens: helper.memory_tokens,
                ..entry.clone()
            };
            self.add(InFlightId { part_index, ..id }, part);
        }
    }

    fn add(&mut self, id: InFlightId, entry: InFlightEntry) {
        let of_upstream = self.by_upstream.entry(entry.upstream.clone());
        of_upstream.or_default().insert(id);
        self.entries.insert(id, entry);
    }

    /// Records the first event of an answer: prefill is complete, and of the helpers only those that
    /// hold KV memory take part in decoding. Returns whether the event must be reported to peers.
    pub fn on_first_event(&mut self, now: Time, id: InFlightId) -> bool {
        let mut expected = false;
        for part in self.parts(id.daemon_index, id.send) {
            let Some(entry) = self.entries.get_mut(&part) else {
                continue;
            };
            expected |= entry.first_due_at.is_some();
            if part.part_index > 0 && entry.memory_tokens == Tokens::ZERO {
                self.remove(now, part);
            } else if entry.phase == Phase::Prefill {
                entry.phase = Phase::Decode { since: now };
                self.prefill_since.insert(entry.upstream.clone(), now);
            }
        }
        !expected
    }

    /// Sets how much of a request's prompt its upstream is expected to hold already.
    pub fn set_cached(&mut self, id: InFlightId, cached_tokens: Tokens) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.cached_tokens = cached_tokens.min(entry.prompt_tokens);
        }
    }

    /// Removes a request that ended. Returns false if the table did not have it.
    pub fn end(&mut self, now: Time, id: InFlightId) -> bool {
        let parts = self.parts(id.daemon_index, id.send);
        let known = !parts.is_empty();
        for part in parts {
            self.remove(now, part);
        }
        known
    }

    fn parts(&self, daemon_index: u32, send: SendId) -> Vec<InFlightId> {
        let id = |part_index| InFlightId {
            part_index,
            ..InFlightId::new(daemon_index, send)
        };
        self.entries
            .range(id(0)..=id(u32::MAX))
            .map(|(id, _)| *id)
            .collect()
    }

    fn remove(&mut self, now: Time, id: InFlightId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        if entry.phase == Phase::Prefill {
            self.prefill_since.insert(entry.upstream.clone(), now);
        }
        if let Some(ids) = self.by_upstream.get_mut(&entry.upstream) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_upstream.remove(&entry.upstream);
                self.prefill_since.remove(&entry.upstream);
            }
        }
    }

    /// Adds a request that a peer reported.
    pub fn on_report(&mut self, now: Time, daemon_index: u32, report: &InFlightReport) {
        let id = InFlightId::new(daemon_index, report.send);
        self.start(id, &entry_from_report(now, report), &report.helpers);
    }

    /// Replaces all requests of a peer by its latest report.
    pub fn replace_daemon(&mut self, now: Time, daemon_index: u32, reports: &[InFlightReport]) {
        self.forget_daemon(now, daemon_index);
        for report in reports {
            self.on_report(now, daemon_index, report);
        }
    }

    /// Removes all requests of a peer that is gone: its connections to upstreams are closed, which ends
    /// the requests.
    pub fn forget_daemon(&mut self, now: Time, daemon_index: u32) {
        for id in self.of_daemon(daemon_index) {
            self.remove(now, id);
        }
    }

    fn of_daemon(&self, daemon_index: u32) -> Vec<InFlightId> {
        let first = InFlightId::new(daemon_index, SendId::new(0));
        let last = InFlightId {
            part_index: u32::MAX,
            ..InFlightId::new(daemon_index, SendId::new(u64::MAX))
        };
        self.entries
            .range(first..=last)
            .map(|(id, _)| *id)
            .collect()
    }

    /// This daemon's requests, as reported to peers.
    pub fn own_reports(&self, now: Time) -> Vec<InFlightReport> {
        let own = self
            .of_daemon(OWN_DAEMON_INDEX)
            .into_iter()
            .filter(|id| id.part_index == 0);
        let report = |id: InFlightId| {
            let parts = self.parts(OWN_DAEMON_INDEX, id.send).into_iter().skip(1);
            let helpers = parts.filter_map(|part| self.entries.get(&part));
            let helpers = helpers.map(|entry| HelperAssignment {
                upstream: entry.upstream.clone(),
                memory_tokens: entry.memory_tokens,
            });
            let helpers = helpers.collect();
            let entry = self.entries.get(&id)?;
            Some(in_flight_report(now, id.send, entry, helpers))
        };
        own.filter_map(report).collect()
    }

    /// The answering upstream of a daemon's transmission.
    pub fn upstream(&self, daemon_index: u32, send: SendId) -> Option<&UpstreamId> {
        let entry = self.entries.get(&InFlightId::new(daemon_index, send));
        entry.map(|entry| &entry.upstream)
    }

    /// Number of requests in flight at an upstream, parts of prompts included.
    pub fn requests_len(&self, upstream: &UpstreamId) -> usize {
        self.by_upstream.get(upstream).map_or(0, BTreeSet::len)
    }

    /// The load of an engine, estimated with its performance profile.
    pub fn engine_load(
        &self,
        now: Time,
        upstream: &UpstreamId,
        profile: &EngineProfile,
    ) -> EngineLoad {
        let mut load = EngineLoad::default();
        let mut prefilling = Vec::new();
        let ids = self.by_upstream.get(upstream).into_iter().flatten();
        for (id, entry) in ids.filter_map(|id| Some((*id, self.entries.get(id)?))) {
            match entry.phase_at(now) {
                Phase::Prefill => prefilling.push((id, entry)),
                Phase::Decode { since } => {
                    load.decoding
                        .push(decoding_request(id, entry, now.since(since).get() as f64));
                }
            }
        }
        prefilling.sort_by_key(|(id, entry)| (id.part_index == 0, entry.sent_at));
        let since = self
            .prefill_since
            .get(upstream)
            .copied()
            .unwrap_or_default();
        let begun = prefilling
            .first()
            .map(|(_, entry)| entry.sent_at.max(since));
        let mut spent_ms = begun.map_or(0.0, |begun| now.since(begun).get() as f64);
        for (id, entry) in prefilling {
            let cached_ms = profile.prefill_ms(entry.cached_tokens);
            let total_ms = (profile.prefill_ms(entry.prompt_tokens) - cached_ms)
                / f64::from(entry.parts_len.max(1));
            let remaining_ms = (total_ms - spent_ms).max(0.0);
            spent_ms = (spent_ms - total_ms).max(0.0);
            let waited_ms = now.since(entry.sent_at).get() as f64;
            load.prefills.push(prefilling_request(
                id,
                entry,
                remaining_ms,
                total_ms,
                waited_ms,
            ));
        }
        load
    }
}

fn entry_from_report(now: Time, report: &InFlightReport) -> InFlightEntry {
    let phase = match report.writing_ms {
        Some(ms) => Phase::Decode { since: now - ms },
        None => Phase::Prefill,
    };
    InFlightEntry {
        upstream: report.upstream.clone(),
        prompt_tokens: report.prompt_tokens,
        cached_tokens: Tokens::ZERO,
        output_tokens: report.output_tokens,
        memory_tokens: report.memory_tokens,
        pause_target_ms: report.pause_target_ms,
        parts_len: report.helpers.len() as u32 + 1,
        sent_at: now - report.age_ms,
        first_due_at: report.first_due_ms.map(|ms| now - report.age_ms + ms),
        phase,
    }
}

/// One request of this daemon, as reported to peers.
pub(super) fn in_flight_report(
    now: Time,
    send: SendId,
    entry: &InFlightEntry,
    helpers: Vec<HelperAssignment>,
) -> InFlightReport {
    InFlightReport {
        send,
        upstream: entry.upstream.clone(),
        helpers,
        prompt_tokens: entry.prompt_tokens,
        output_tokens: entry.output_tokens,
        memory_tokens: entry.memory_tokens,
        pause_target_ms: entry.pause_target_ms,
        age_ms: now.since(entry.sent_at),
        first_due_ms: entry.first_due_at.map(|at| at.since(entry.sent_at)),
        writing_ms: match entry.phase {
            Phase::Prefill => None,
            Phase::Decode { since } => Some(now.since(since)),
        },
    }
}

fn decoding_request(id: InFlightId, entry: &InFlightEntry, decoding_ms: f64) -> DecodingRequest {
    let holds_kv_only = id.part_index > 0;
    let own_context_tokens = entry.memory_tokens.saturating_sub(entry.output_tokens);
    DecodingRequest {
        context_tokens: if holds_kv_only {
            entry.memory_tokens
        } else {
            own_context_tokens
        },
        output_tokens: entry.output_tokens,
        memory_tokens: entry.memory_tokens,
        decoding_ms,
        pause_target_ms: entry.pause_target_ms,
        weight_requests: prompt_weight_requests(entry.prompt_tokens),
        holds_kv_only,
    }
}

fn prefilling_request(
    id: InFlightId,
    entry: &InFlightEntry,
    remaining_ms: f64,
    total_ms: f64,
    waited_ms: f64,
) -> PendingPrefill {
    let remaining_ratio = if total_ms > 0.0 {
        remaining_ms / total_ms
    } else {
        0.0
    };
    let prefill_tokens = entry.prompt_tokens.saturating_sub(entry.cached_tokens);
    let part_tokens = prefill_tokens.get() as f64 / f64::from(entry.parts_len.max(1));
    let is_helper = id.part_index > 0;
    let own_context_tokens = entry.memory_tokens.saturating_sub(entry.output_tokens);
    PendingPrefill {
        remaining_ms,
        total_ms,
        waited_ms,
        remaining_tokens: Tokens::new((part_tokens * remaining_ratio) as u64),
        memory_tokens: entry.memory_tokens,
        for_other_engine: is_helper,
        context_tokens: if is_helper {
            entry.memory_tokens
        } else {
            own_context_tokens
        },
        pause_target_ms: entry.pause_target_ms,
        weight_requests: prompt_weight_requests(entry.prompt_tokens),
    }
}
