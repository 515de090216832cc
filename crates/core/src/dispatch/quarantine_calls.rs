//! Calls with a quarantined fingerprint, and what daemons tell each other of such fingerprints.

use super::{
    dispatcher::{Dispatcher, Out},
    Crash, DispatchAction, DispatchMessage, DispatchRecord, QuarantineMessage, RefusalReason,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, Fingerprint, VmId},
    units::Time,
};

impl Dispatcher {
    /// Records that an upstream's process ended with requests of this daemon in flight.
    pub(super) fn on_crash(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamIncarnation,
        crash: &Crash,
    ) {
        let quarantined = self.quarantine.on_crash(out.now, crash);
        out.log(DispatchRecord::UpstreamCrashed {
            upstream: upstream.id.clone(),
            fingerprints: crash.in_flight.keys().copied().collect(),
        });
        self.learn_upstream_bytes(out, &upstream.id);
        let report = crash.report(out.now);
        self.notify_quarantine(out, QuarantineMessage::Crashed(report));
        if !quarantined.is_empty() {
            let fingerprints = quarantined.iter();
            let verdicts =
                fingerprints.filter_map(|fingerprint| self.quarantine.verdict(*fingerprint));
            let message = QuarantineMessage::Quarantined(verdicts.collect());
            self.notify_quarantine(out, message);
            self.apply_quarantine(out, &quarantined, None);
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
                let crash = report.crash(out.now);
                let quarantined = self.quarantine.on_crash(out.now, &crash);
                self.apply_quarantine(out, &quarantined, Some(peer));
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
                let cleared = self.quarantine.clear(&fingerprints);
                log_cleared(out, cleared, Some(peer));
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
            refused && open.first_at.is_none() && !open.is_trial
        });
        let calls: Vec<_> = affected.map(|(call, _)| *call).collect();
        for call in calls {
            self.give_up(out, call, RefusalReason::Quarantined);
        }
    }

    /// Clears the fingerprints of a call that an upstream answers.
    pub(super) fn clear_fingerprints(&mut self, out: &mut Out<'_>, call: CallId) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let cleared = self.quarantine.clear(&open.call.fingerprints);
        if !cleared.is_empty() {
            self.notify_quarantine(out, QuarantineMessage::Cleared(cleared.clone()));
            log_cleared(out, cleared, None);
        }
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
