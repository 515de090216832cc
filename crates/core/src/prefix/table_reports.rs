//! Reports of the prefix table to peers, and theirs.

use super::{
    prompt::PARTS_MAX_LEN,
    report::{bounded, REPORTS_MAX_LEN},
    table::{shrink, PrefixUse},
    CachedPrefix, DaemonSend, PrefixPart, PrefixReport, PrefixTable,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{SendId, ServiceName},
    units::{Millis, Time, Tokens},
};

impl PrefixTable {
    /// When reports to peers are due.
    pub const fn due_at(&self) -> Option<Time> {
        self.due_at
    }

    /// The reports to peers that are due, or all of them early.
    pub fn take_due(&mut self, now: Time, is_early: bool) -> Vec<PrefixReport> {
        if self.due_at.is_none_or(|due_at| due_at > now && !is_early) {
            return Vec::new();
        }
        self.due_at = None;
        std::mem::take(&mut self.pending)
    }

    /// What a new peer needs to know: this daemon's requests in flight, and the parts that upstreams were last
    /// seen to keep.
    pub fn snapshot(&self, now: Time, own_index: u32) -> Vec<PrefixReport> {
        let own = self
            .in_flight
            .iter()
            .filter(|(id, _)| id.daemon_index == own_index);
        let own = own.map(|(id, own)| PrefixReport {
            send: Some(id.send),
            upstream: own.upstream.clone(),
            parts: own.parts.clone(),
            cached_tokens: own.believed.expected_tokens(),
            used_ms: Millis::ZERO,
        });
        let kept = self.upstreams.iter().filter_map(|(id, held)| {
            let newest = held.parts.newest().take(PARTS_MAX_LEN);
            let newest: Vec<_> = newest.collect();
            let used_at = newest.iter().map(|(_, part)| part.used_at).min()?;
            let parts = newest.iter().map(|(end, part)| PrefixPart {
                end: *end,
                tokens: part.tokens,
            });
            Some(PrefixReport {
                send: None,
                upstream: UpstreamIncarnation {
                    id: id.clone(),
                    started_unix_ms: held.started_unix_ms,
                },
                parts: parts.collect(),
                cached_tokens: Tokens::ZERO,
                used_ms: now.since(used_at),
            })
        });
        kept.chain(own).take(REPORTS_MAX_LEN).collect()
    }

    /// Applies a peer's reports. `place_of` gives the service and the free memory of a process that is in
    /// service; `is_in_flight` tells whether a transmission of the peer has not ended.
    pub fn on_reports(
        &mut self,
        now: Time,
        daemon_index: u32,
        reports: Vec<PrefixReport>,
        place_of: impl Fn(&UpstreamIncarnation) -> Option<(ServiceName, Tokens)>,
        is_in_flight: impl Fn(SendId) -> bool,
    ) {
        if !self.is_on() {
            return;
        }
        for report in bounded(reports) {
            let Some((service, free_tokens)) = place_of(&report.upstream) else {
                continue;
            };
            let used_at = now - report.used_ms;
            match report.send.filter(|send| is_in_flight(*send)) {
                Some(send) => {
                    let own = PrefixUse {
                        upstream: report.upstream,
                        service,
                        parts: report.parts,
                        sent_at: used_at,
                        believed: CachedPrefix::default(),
                        predicted_ms: None,
                    };
                    self.start(now, DaemonSend { daemon_index, send }, own, free_tokens);
                }
                None => {
                    let retention = self.retention(&service);
                    if let Some(held) = self.current(&report.upstream) {
                        held.keep(used_at, &report.parts);
                        shrink(held, now, retention, free_tokens);
                    }
                }
            }
        }
    }
}
