//! Checks whether the process of an upstream ended when connections to it broke. A broken connection alone
//! says nothing: the upstream may have cut off one answer, or the network may have.

use super::{
    dispatcher::{Dispatcher, Out, Sending},
    DispatchAction,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, Fingerprint},
};
use std::collections::{BTreeSet, HashMap};

/// Fingerprints of the requests that were lost at an upstream before an event of their answers.
#[derive(Debug, Default)]
pub(super) struct LostFingerprints {
    /// Those of the shared parts of prompts.
    pub(super) parts: BTreeSet<Fingerprint>,
    /// Those of whole requests.
    pub(super) requests: BTreeSet<Fingerprint>,
}

/// Upstreams that are being checked.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    pending: HashMap<UpstreamIncarnation, LostFingerprints>,
}

impl Dispatcher {
    /// Starts a check of an upstream that closed the connection of a call. An upstream that is about to
    /// stop, or whose entry is gone, ends by plan.
    pub(super) fn check_upstream(&mut self, out: &mut Out<'_>, call: CallId, sending: &Sending) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let known = self.fleet.get(&sending.upstream).map(|known| &known.record);
        let Some(record) = known.filter(|record| !record.draining) else {
            return;
        };
        if open.first_at.is_some() {
            return;
        }
        let pending = &mut self.crash_checks.pending;
        let is_new = !pending.contains_key(&record.incarnation());
        let lost = pending.entry(record.incarnation()).or_default();
        lost.parts.extend(&open.call.fingerprints);
        lost.requests.insert(open.fingerprint);
        if is_new {
            out.act(DispatchAction::CheckUpstream {
                upstream: record.incarnation(),
                address: record.address,
            });
        }
    }

    /// Handles the result of a check.
    pub(super) fn on_upstream_checked(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamIncarnation,
        has_ended: bool,
    ) {
        let Some(lost) = self.crash_checks.pending.remove(upstream) else {
            return;
        };
        if has_ended {
            self.on_crash_with(out, upstream, lost);
        }
    }
}
