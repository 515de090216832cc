//! What the end of a transmission says about upstreams: failures, ejections, replaced upstreams, and what
//! the call's next transmission avoids.

use super::{
    dispatcher::{Dispatcher, Out, Sending},
    retry::SERVER_FAILURE_STATUS,
    Culprit, DispatchAction, DispatchMessage, DispatchRecord, SendOutcome, UpstreamSource,
};
use crate::{
    ids::{CallId, UpstreamId, VmId},
    path::PathAttempts,
    units::{Millis, Time},
};

impl Dispatcher {
    /// Prefers another failure domain for the next transmission: a lost connection may be the first
    /// sign that the domain is cut off.
    pub(super) fn avoid_domain(&mut self, call: CallId, sending: &Sending, end: &SendOutcome) {
        let upstream = self.fleet.get(&sending.upstream);
        let lost = matches!(end, SendOutcome::NotSent { .. } | SendOutcome::Lost { .. });
        if let (true, Some(open)) = (lost, self.calls.get_mut(&call)) {
            open.lost_domain = upstream.map(|upstream| upstream.record.domain.clone());
        }
    }

    /// Excludes helpers from the next transmission. An engine that refuses a prompt with helpers may do
    /// so because of one of them: the one that it names is excluded, or all if it names none.
    pub(super) fn avoid_helpers(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        sending: &Sending,
        end: &SendOutcome,
    ) {
        let culprit = match end {
            SendOutcome::Failed {
                not_run: true,
                culprit,
                ..
            } => culprit.as_ref(),
            SendOutcome::Unproven { .. } => None,
            _ => return,
        };
        let is_culprit = |helper: &&UpstreamId| match culprit {
            Some(Culprit::Named(id)) => id == *helper,
            Some(Culprit::At(address)) => {
                let known = self.fleet.get(helper);
                known.is_some_and(|known| known.record.address == *address)
            }
            None => false,
        };
        let named = sending.helpers.iter().find(is_culprit).cloned();
        if let Some(helper) = &named {
            let for_ms = self.eject_upstream(out, helper, false);
            self.report_ejection(out, helper, for_ms, false);
        }
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        open.excluded.extend(named);
        let usable_len = self.fleet.usable(&open.service.name).count();
        if culprit.is_none() && sending.helpers.len() + open.excluded.len() < usable_len {
            open.excluded.extend(sending.helpers.iter().cloned());
        }
    }

    /// Ejects an upstream here, and returns for how long.
    fn eject_upstream(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamId,
        unreachable: bool,
    ) -> Millis {
        let for_ms = self.health.eject(out.now, upstream, unreachable);
        self.prolong_domain_ejections(out.now, upstream, for_ms);
        out.log(DispatchRecord::Upstream {
            upstream: upstream.clone(),
            state: "rests",
            source: UpstreamSource::default(),
        });
        for_ms
    }

    /// Handles that a peer ejected an upstream.
    pub(super) fn on_peer_ejection(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        upstream: &UpstreamId,
        for_ms: Millis,
        unreachable: bool,
    ) {
        if !self.health.get(upstream).is_ejected(out.now) {
            out.log(DispatchRecord::Upstream {
                upstream: upstream.clone(),
                state: "rests",
                source: UpstreamSource {
                    store: None,
                    reported_by: Some(peer.clone()),
                },
            });
        }
        self.health
            .on_peer_ejection(out.now, upstream, for_ms, unreachable);
        self.prolong_domain_ejections(out.now, upstream, for_ms);
    }

    /// Prolongs the ejections of the other failed upstreams of the same failure domain: it may be cut off,
    /// so that one of them is tried for all.
    fn prolong_domain_ejections(&mut self, now: Time, upstream: &UpstreamId, for_ms: Millis) {
        let Some(failed) = self.fleet.get(upstream) else {
            return;
        };
        let service = &failed.record.service;
        let others = self.fleet.usable(service).filter(|other| {
            other.record.domain == failed.record.domain && other.record.id != *upstream
        });
        for other in others {
            self.health.prolong_ejection(now, &other.record.id, for_ms);
        }
    }

    /// Updates the upstream's health and registration by the outcome of a transmission.
    pub(super) fn record_outcome(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        sending: &Sending,
        end: &SendOutcome,
    ) {
        let upstream = &sending.upstream;
        match end {
            SendOutcome::Delivered | SendOutcome::Busy => {}
            SendOutcome::Failed {
                wrong_upstream: true,
                ..
            } => {
                // With helpers, one of them may be the upstream that is gone.
                if sending.helpers.is_empty() {
                    self.on_replaced(out, upstream, None);
                    self.notify_now(out.now, DispatchMessage::UpstreamReplaced(upstream.clone()));
                }
            }
            SendOutcome::Failed {
                retry_after_ms: Some(for_ms),
                ..
            }
            | SendOutcome::Unproven {
                retry_after_ms: Some(for_ms),
                ..
            } => {
                self.health.on_answer(upstream);
                self.on_backoff_asked(out, self.request_id(call), sending, *for_ms);
            }
            SendOutcome::Failed {
                status, not_run, ..
            } => {
                self.health.on_answer(upstream);
                if *status >= SERVER_FAILURE_STATUS && !*not_run {
                    self.health.on_failure(upstream);
                }
            }
            SendOutcome::Unproven { doubt, .. } => {
                if doubt.shows_fault() {
                    self.record_lost(out, call, sending, false);
                }
            }
            SendOutcome::NotSent {
                timed_out,
                attempts,
                ..
            } => {
                self.record_not_sent(out, sending, *timed_out, attempts);
            }
            SendOutcome::Lost { stalled, .. } => {
                self.record_lost(out, call, sending, *stalled);
            }
        }
    }

    /// Ejects and checks an upstream that broke an answer off or was silent, unless the own link is known to be at
    /// fault.
    fn record_lost(&mut self, out: &mut Out<'_>, call: CallId, sending: &Sending, stalled: bool) {
        if stalled {
            self.discard_idle(out, sending);
        }
        if !self.is_on_lost_link(out.now, sending) {
            let for_ms = self.eject_upstream(out, &sending.upstream, false);
            self.check_upstream(out, call, sending, stalled, for_ms);
        }
    }

    /// Ejects an upstream to which no connection could be opened, unless the own link is known to be at fault.
    fn record_not_sent(
        &mut self,
        out: &mut Out<'_>,
        sending: &Sending,
        timed_out: bool,
        attempts: &PathAttempts,
    ) {
        if timed_out {
            self.discard_idle(out, sending);
        }
        let upstream = &sending.upstream;
        if attempts.show_unreachable() {
            let for_ms = self.eject_upstream(out, upstream, true);
            self.report_ejection_if_sound(out.now, upstream, for_ms, true, attempts);
        } else if !self.is_on_lost_link(out.now, sending) {
            self.eject_upstream(out, upstream, true);
        }
    }

    /// Closes pooled connections to the failure domain of an upstream that was silent, or not reached at all:
    /// the domain may be cut off. A request on such a connection would wait for the cut to end. Connections
    /// that were used after this transmission began are known to work.
    fn discard_idle(&self, out: &mut Out<'_>, sending: &Sending) {
        let Some(failed) = self.fleet.get(&sending.upstream) else {
            return;
        };
        let domain = &failed.record.domain;
        let of_domain = self.fleet.in_domain(domain);
        let addresses = of_domain.map(|upstream| upstream.record.address).collect();
        out.act(DispatchAction::DiscardIdle {
            addresses,
            idle_for_ms: out.now.since(sending.sent_at),
        });
    }

    /// Removes an upstream whose address now belongs to another one.
    pub(super) fn on_replaced(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamId,
        reported_by: Option<&VmId>,
    ) {
        if self.fleet.on_removed(upstream) {
            let source = UpstreamSource {
                store: None,
                reported_by: reported_by.cloned(),
            };
            self.forget_upstream(out, upstream, "replaced", &source);
        }
    }
}
