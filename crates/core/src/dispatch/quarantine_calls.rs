//! Calls with a quarantined fingerprint, and what daemons tell each other of such fingerprints.

use super::{
    dispatcher::{Dispatcher, Out},
    Clearing, Crash, CrashNotice, DispatchAction, DispatchMessage, DispatchRecord, ExtensionKind,
    ExtensionMessage, QuarantineMessage, RefusalReason,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, Fingerprint, VmId},
    units::{Millis, Time},
};

/// Interval of checks for fingerprints that upstreams have survived, while any is suspect.
const SURVIVALS_CHECK_MS: Millis = Millis::new(100);

/// Time between two checks from which this process may have been paused.
const SURVIVALS_PAUSE_MS: Millis = Millis::new(500);

impl Dispatcher {
    /// Records that an upstream's process ended with requests of this daemon in flight.
    pub(super) fn on_crash(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamIncarnation,
        crash: &Crash,
    ) {
        self.quarantine.on_crash(out.now, crash, true);
        out.log(DispatchRecord::UpstreamCrashed {
            upstream: upstream.id.clone(),
            fingerprints: crash.in_flight.keys().copied().collect(),
        });
        self.learn_upstream_bytes(out, &upstream.id);
        self.report_crash(out, crash);
    }

    /// Tells the peers of a crash. Builds that don't know crashes of a certain upstream get the earlier message.
    fn report_crash(&mut self, out: &mut Out<'_>, crash: &Crash) {
        let report = crash.report(out.now);
        let kind = ExtensionKind::UPSTREAM_CRASHED;
        if let Some(upstream) = crash.upstream.clone() {
            let notice = CrashNotice {
                upstream,
                report: report.clone(),
                begun: crash.begun.iter().copied().collect(),
            };
            self.notify_readers_now(out, &ExtensionMessage::UpstreamCrashed(notice));
        }
        let peers = self.peers.keys();
        for peer in peers.filter(|peer| !self.extension_peers.reads(peer, kind)) {
            let message = QuarantineMessage::Crashed(report.clone());
            out.act(DispatchAction::Notify {
                to: Some(peer.clone()),
                message: DispatchMessage::Quarantine(message),
            });
        }
    }

    /// Counts crashes that all daemons have told of, and clears what upstreams have survived.
    pub(super) fn progress_quarantine(&mut self, out: &mut Out<'_>) {
        self.clear_survived(out);
        if self
            .quarantine
            .next_wakeup()
            .is_none_or(|due_at| out.now < due_at)
        {
            return;
        }
        let new = self.quarantine.settle(out.now);
        let fingerprints: Vec<_> = new.iter().map(|new| new.fingerprint).collect();
        let own = new.iter().filter(|new| new.is_own);
        let verdicts: Vec<_> = own
            .filter_map(|new| self.quarantine.verdict(new.fingerprint))
            .collect();
        if !verdicts.is_empty() {
            self.notify_quarantine(out, QuarantineMessage::Quarantined(verdicts));
        }
        self.apply_quarantine(out, &fingerprints, None);
    }

    /// When answers are to be checked for fingerprints that their upstreams have survived.
    pub(super) fn next_survival_check(&self) -> Option<Time> {
        let is_needed = self.quarantine.has_suspects() && !self.calls.is_empty();
        is_needed.then(|| self.survivals_checked_at + SURVIVALS_CHECK_MS)
    }

    /// Clears the fingerprints of requests that their upstreams began to answer long enough ago. After a pause of
    /// this process, connections that broke meanwhile may not be known yet, so the next check decides.
    fn clear_survived(&mut self, out: &mut Out<'_>) {
        let since_ms = out.now.since(self.survivals_checked_at);
        if !self.quarantine.has_suspects() {
            self.survivals_checked_at = out.now;
            return;
        }
        if since_ms < SURVIVALS_CHECK_MS {
            return;
        }
        self.survivals_checked_at = out.now;
        if since_ms >= SURVIVALS_PAUSE_MS {
            return;
        }
        let survived = self.calls.iter().filter(|(_, open)| {
            let sending = open.sending.as_ref();
            sending.is_some_and(|sending| sending.is_survived(out.now))
        });
        let calls: Vec<_> = survived.map(|(call, _)| *call).collect();
        for call in calls {
            self.clear_fingerprints(out, call, Clearing::Survived);
        }
    }

    fn notify_quarantine(&mut self, out: &Out<'_>, message: QuarantineMessage) {
        self.notify_now(out.now, DispatchMessage::Quarantine(message));
    }

    /// Handles what a peer says of fingerprints.
    pub(super) fn on_quarantine_message(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        message: QuarantineMessage,
    ) {
        match message {
            QuarantineMessage::Crashed(report) => {
                let crash = report.crash(None, out.now);
                self.quarantine.on_crash(out.now, &crash, false);
            }
            QuarantineMessage::Quarantined(verdicts) => {
                let mut fingerprints = Vec::new();
                for verdict in verdicts {
                    let fingerprint = verdict.fingerprint;
                    if self.quarantine.quarantine(out.now, verdict) {
                        fingerprints.push(fingerprint);
                    }
                }
                self.apply_quarantine(out, &fingerprints, Some(peer));
            }
            QuarantineMessage::Cleared(fingerprints) => {
                self.on_peer_clearing(out, peer, &fingerprints, Clearing::Begun);
            }
        }
    }

    /// Ends the own calls that are refused by new verdicts, before more upstreams begin to work on them.
    fn apply_quarantine(
        &mut self,
        out: &mut Out<'_>,
        fingerprints: &[Fingerprint],
        reported_by: Option<&VmId>,
    ) {
        for fingerprint in fingerprints {
            out.log(DispatchRecord::FingerprintQuarantined {
                fingerprint: *fingerprint,
                reported_by: reported_by.cloned(),
            });
        }
        if fingerprints.is_empty() {
            return;
        }
        let affected = self.calls.iter().filter(|(_, open)| {
            let refused = self.quarantine.find(&open.call.fingerprints).is_some();
            refused && !open.has_begun() && !open.is_trial
        });
        let calls: Vec<_> = affected.map(|(call, _)| *call).collect();
        for call in calls {
            self.give_up(out, call, RefusalReason::Quarantined);
        }
    }

    /// Clears the fingerprints of a call that an upstream answers.
    pub(super) fn clear_fingerprints(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        clearing: Clearing,
    ) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let cleared = self.quarantine.clear(&open.call.fingerprints, clearing);
        if cleared.is_empty() {
            return;
        }
        match clearing {
            Clearing::Begun => {
                self.notify_quarantine(out, QuarantineMessage::Cleared(cleared.clone()));
            }
            Clearing::Survived => {
                self.notify_readers_now(out, &ExtensionMessage::Survived(cleared.clone()));
            }
        }
        log_cleared(out, cleared, None);
    }

    /// Clears what upstreams answered to requests of a peer.
    pub(super) fn on_peer_clearing(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        fingerprints: &[Fingerprint],
        clearing: Clearing,
    ) {
        let cleared = self.quarantine.clear_reported(fingerprints, clearing);
        log_cleared(out, cleared, Some(peer));
    }

    /// Whether a call must not be sent because of one of its fingerprints. The first daemon by name lets a
    /// request try the fingerprint from time to time.
    pub(super) fn is_quarantined(&mut self, now: Time, call: CallId) -> bool {
        let may_try = self.reader_rank() == 0;
        let Some(open) = self.calls.get_mut(&call) else {
            return false;
        };
        let Some(fingerprint) = self.quarantine.find(&open.call.fingerprints) else {
            return false;
        };
        if !open.is_trial && open.tries_count == 0 {
            open.is_trial = self.quarantine.on_request(now, fingerprint, may_try);
        }
        !open.is_trial
    }

    /// Reports the quarantined fingerprints to a peer that has just connected.
    pub(super) fn report_quarantine(&self, out: &mut Out<'_>, peer: VmId) {
        let fingerprints = self.quarantine.quarantined();
        if !fingerprints.is_empty() {
            out.act(DispatchAction::Notify {
                to: Some(peer),
                message: DispatchMessage::Quarantine(QuarantineMessage::Quarantined(fingerprints)),
            });
        }
    }
}

fn log_cleared(out: &mut Out<'_>, fingerprints: Vec<Fingerprint>, reported_by: Option<&VmId>) {
    for fingerprint in fingerprints {
        out.log(DispatchRecord::FingerprintCleared {
            fingerprint,
            reported_by: reported_by.cloned(),
        });
    }
}
