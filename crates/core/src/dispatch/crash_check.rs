//! Checks whether the process of an upstream ended when connections to it broke. A broken connection alone
//! says nothing: the upstream may have cut off one answer, or the network may have.

use super::{
    dispatcher::{Dispatcher, Out, Sending},
    Crash, DispatchAction,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::CallId,
    path::{PathAttempts, PathEnd, PathPlan},
};
use std::collections::HashMap;

/// Upstreams that are being checked, each with what was in flight there when the first connection broke.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    pending: HashMap<UpstreamIncarnation, Crash>,
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
        let crash = pending
            .entry(record.incarnation())
            .or_insert_with(|| Crash::new(out.now));
        crash.add_lost(&open.call.fingerprints, sending.sent_at);
        if is_new {
            out.act(DispatchAction::CheckUpstream {
                upstream: record.incarnation(),
                address: record.address,
                paths: PathPlan::direct(),
            });
        }
    }

    /// Handles the result of a check.
    pub(super) fn on_upstream_checked(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamIncarnation,
        attempts: &PathAttempts,
    ) {
        self.learn_from_attempts(out, upstream, attempts);
        let Some(crash) = self.crash_checks.pending.remove(upstream) else {
            return;
        };
        if attempts.direct() == Some(PathEnd::Refused) {
            self.on_crash(out, upstream, &crash);
        }
    }
}
