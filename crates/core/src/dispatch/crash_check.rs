//! Checks of upstreams to which a connection broke, or that were silent. That alone says little: the upstream
//! may have cut off one answer, its process may have ended, or this daemon's own link may be lost.

use super::{
    crash_evidence::HARMLESS_AFTER_MS,
    dispatcher::{Dispatcher, Out, Sending},
    Crash, DispatchAction, EndedUpstream,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::CallId,
    path::PathAttempts,
    units::{Millis, Time},
};
use std::collections::HashMap;

/// What the result of a check decides.
#[derive(Debug, Default)]
struct Check {
    /// What was in flight when the first connection broke, if that could be a crash.
    crash: Option<Crash>,
    /// The ejection that peers are not told of yet.
    ejected_ms: Millis,
}

/// Upstreams that are being checked.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    pending: HashMap<UpstreamIncarnation, Check>,
}

impl Dispatcher {
    /// Starts a check of an upstream that this daemon has ejected for `ejected_ms` because a transmission was lost.
    pub(super) fn check_upstream(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        sending: &Sending,
        stalled: bool,
        ejected_ms: Millis,
    ) {
        let known = self.fleet.get(&sending.upstream);
        let Some(record) = known.map(|known| known.record.clone()) else {
            return;
        };
        let may_be_crash = !stalled && !record.draining && !sending.is_survived(out.now);
        let pending = &mut self.crash_checks.pending;
        let is_new = !pending.contains_key(&record.incarnation());
        let check = pending.entry(record.incarnation()).or_default();
        check.ejected_ms = check.ejected_ms.max(ejected_ms);
        if let (true, Some(open)) = (may_be_crash, self.calls.get(&call)) {
            let crash = check.crash.get_or_insert_with(|| {
                let upstream = EndedUpstream {
                    incarnation: record.incarnation(),
                    domain: record.domain.clone(),
                };
                Crash::new(Some(upstream), out.now)
            });
            let has_begun = sending.begun_at.is_some();
            crash.add_lost(&open.call.fingerprints, sending.sent_at, has_begun);
        }
        if is_new {
            out.act(DispatchAction::CheckUpstream {
                upstream: record.incarnation(),
                address: record.address,
                paths: self.check_plan(out.now, &record),
            });
        }
    }

    /// Handles the result of a check. If the upstream accepts connections of peers only, this daemon's link is
    /// at fault, and nobody else is to know of the ejection.
    pub(super) fn on_upstream_checked(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamIncarnation,
        attempts: &PathAttempts,
    ) {
        self.learn_from_attempts(out, upstream, attempts);
        self.move_silent(out, &upstream.id);
        let Some(check) = self.crash_checks.pending.remove(upstream) else {
            return;
        };
        if attempts.show_lost_link() {
            return;
        }
        self.report_ejection_if_sound(out.now, &upstream.id, check.ejected_ms, false, attempts);
        let has_ended = attempts.show_ended() && self.links.are_sound(out.now);
        if let Some(crash) = check.crash.filter(|_| has_ended) {
            self.on_crash(out, upstream, &crash);
        }
    }
}

impl Sending {
    /// Whether the upstream has lived on after it began to answer.
    pub(super) fn is_survived(&self, now: Time) -> bool {
        self.begun_at
            .is_some_and(|begun_at| begun_at + HARMLESS_AFTER_MS <= now)
    }
}
