//! Checks whether the process of an upstream ended when connections to it broke. A broken connection alone
//! says nothing: the upstream may have cut off one answer, or the network may have.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out, Sending},
    DispatchAction,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, Fingerprint},
};
use std::collections::{BTreeSet, HashMap};

/// Upstreams that are being checked, each with the fingerprints of the requests that were lost there.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    pending: HashMap<UpstreamIncarnation, BTreeSet<Fingerprint>>,
}

impl OpenCall {
    /// The fingerprints of the request, unless an event of the answer shows that upstreams bear them.
    fn unproven_fingerprints(&self) -> &[Fingerprint] {
        match self.first_at {
            Some(_) => &[],
            None => &self.call.fingerprints,
        }
    }
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
        let fingerprints = open.unproven_fingerprints();
        if fingerprints.is_empty() {
            return;
        }
        let pending = &mut self.crash_checks.pending;
        let is_new = !pending.contains_key(&record.incarnation());
        let lost = pending.entry(record.incarnation()).or_default();
        lost.extend(fingerprints);
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
        let Some(fingerprints) = self.crash_checks.pending.remove(upstream) else {
            return;
        };
        if has_ended {
            self.on_crash_with(out, upstream, fingerprints.into_iter().collect());
        }
    }
}
