//! Calls whose prompts have a quarantined part, and what daemons tell each other of such parts.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord, PartsMessage, RefusalReason,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, PromptPartId, VmId},
    units::Time,
};

impl Dispatcher {
    /// Records that an upstream's process ended with these parts in flight at this daemon.
    pub(super) fn on_crash_with_parts(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamIncarnation,
        parts: Vec<PromptPartId>,
    ) {
        let quarantined = self.quarantine.on_crash(out.now, &parts);
        out.log(DispatchRecord::UpstreamCrashed {
            upstream: upstream.id.clone(),
            parts: parts.clone(),
        });
        self.notify_parts(out, PartsMessage::Crashed(parts));
        if !quarantined.is_empty() {
            let parts = quarantined.iter();
            let verdicts = parts.filter_map(|part| self.quarantine.verdict(*part));
            let message = PartsMessage::Quarantined(verdicts.collect());
            self.notify_parts(out, message);
            self.apply_quarantine(out, &quarantined, None);
        }
    }

    fn notify_parts(&mut self, out: &Out<'_>, message: PartsMessage) {
        self.notify_now(out.now, DispatchMessage::PromptParts(message));
    }

    /// Handles what a peer says of prompt parts.
    pub(super) fn on_parts_message(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        message: PartsMessage,
    ) {
        match message {
            PartsMessage::Crashed(parts) => {
                let quarantined = self.quarantine.on_crash(out.now, &parts);
                self.apply_quarantine(out, &quarantined, Some(peer));
            }
            PartsMessage::Quarantined(verdicts) => {
                let mut parts = Vec::new();
                for verdict in verdicts {
                    let part = verdict.part;
                    if self.quarantine.quarantine(out.now, verdict) {
                        parts.push(part);
                    }
                }
                self.apply_quarantine(out, &parts, Some(peer));
            }
            PartsMessage::Cleared(parts) => {
                let cleared = self.quarantine.clear(&parts);
                log_cleared(out, cleared, Some(peer));
            }
        }
    }

    /// Ends the own calls that are refused by new verdicts, before more upstreams begin to write on them.
    fn apply_quarantine(
        &mut self,
        out: &mut Out<'_>,
        parts: &[PromptPartId],
        reported_by: Option<&VmId>,
    ) {
        for part in parts {
            out.log(DispatchRecord::PartQuarantined {
                part: *part,
                reported_by: reported_by.cloned(),
            });
        }
        if parts.is_empty() {
            return;
        }
        let affected = self.calls.iter().filter(|(_, open)| {
            let refused = self.quarantine.find(&open.call.prompt_parts).is_some();
            refused && open.first_at.is_none() && !open.is_trial
        });
        let calls: Vec<_> = affected.map(|(call, _)| *call).collect();
        for call in calls {
            self.give_up(out, call, RefusalReason::PromptQuarantined);
        }
    }

    /// Clears the parts of a call whose answer has begun.
    pub(super) fn clear_parts(&mut self, out: &mut Out<'_>, call: CallId) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let cleared = self.quarantine.clear(&open.call.prompt_parts);
        if !cleared.is_empty() {
            self.notify_parts(out, PartsMessage::Cleared(cleared.clone()));
            log_cleared(out, cleared, None);
        }
    }

    /// Whether a call must not be sent because of a part of its prompt. The first daemon by name lets a
    /// request try the part from time to time.
    pub(super) fn is_quarantined(&mut self, now: Time, call: CallId) -> bool {
        let may_try = self.reader_rank() == 0;
        let Some(open) = self.calls.get_mut(&call) else {
            return false;
        };
        let Some(part) = self.quarantine.find(&open.call.prompt_parts) else {
            return false;
        };
        if !open.is_trial && open.tries_count == 0 {
            open.is_trial = self.quarantine.on_request(now, part, may_try);
        }
        !open.is_trial
    }

    /// Reports the quarantined parts to a peer that has just connected.
    pub(super) fn report_quarantine(&self, out: &mut Out<'_>, peer: VmId) {
        let parts = self.quarantine.quarantined();
        if !parts.is_empty() {
            out.act(DispatchAction::Notify {
                to: Some(peer),
                message: DispatchMessage::PromptParts(PartsMessage::Quarantined(parts)),
            });
        }
    }
}

fn log_cleared(out: &mut Out<'_>, parts: Vec<PromptPartId>, reported_by: Option<&VmId>) {
    for part in parts {
        out.log(DispatchRecord::PartCleared {
            part,
            reported_by: reported_by.cloned(),
        });
    }
}
