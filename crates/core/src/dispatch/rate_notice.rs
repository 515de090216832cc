//! Answers in which upstreams state a rate limit, or no longer do, and what daemons tell each other of them.

use super::{
    dispatcher::{Dispatcher, Out},
    rate_limit::RateStatement,
    DispatchAction, DispatchMessage, DispatchRecord, RateLimitReport,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{UpstreamId, VmId},
    units::{Millis, RequestsPerSecond, Time},
};
use std::{net::SocketAddr, sync::Arc};

/// What an answer says about the rate limit of the upstream that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitNotice {
    /// The upstream that the request or order was meant for.
    pub upstream: UpstreamIncarnation,
    /// The address that answered.
    pub address: SocketAddr,
    /// Whether another upstream than the one meant may have answered.
    pub is_misdirected: bool,
    /// The request id that the caller chose, if the answer was to a caller's request.
    pub request: Option<Arc<str>>,
    /// Requests a second that the upstream takes from all daemons together; none if it states no limit.
    pub per_s: Option<RequestsPerSecond>,
    /// Time from the request's sending to its answer.
    pub answered_after_ms: Millis,
}

impl Dispatcher {
    /// Handles what an answer says about a rate limit. Where another upstream than the one meant may
    /// have answered, it applies to all that are known at the address. Peers are notified of a change.
    pub(super) fn on_rate_notice(&mut self, out: &mut Out<'_>, notice: RateLimitNotice) {
        let is_misdirected = notice.is_misdirected;
        let concerned = self
            .fleet
            .answering(notice.upstream, notice.address, is_misdirected);
        let statement = RateStatement {
            per_s: notice.per_s,
            sent_at: out.now - notice.answered_after_ms,
            received_at: out.now,
        };
        for incarnation in concerned {
            if !self.may_be_running(&incarnation)
                || !self.rate_limits.on_answer(&incarnation.id, statement)
            {
                continue;
            }
            out.log(DispatchRecord::UpstreamRateLimit {
                request: notice.request.clone(),
                upstream: incarnation.id.clone(),
                per_s: statement.per_s,
                reported_by: None,
            });
            let report = rate_limit_report(out.now, incarnation, &statement);
            self.notify_now(out.now, DispatchMessage::RateLimits(vec![report]));
        }
    }

    /// Handles what a peer knows of rate limits. Where this daemon knows better, it reports that back.
    pub(super) fn on_peer_rate_limits(
        &mut self,
        out: &mut Out<'_>,
        peer: &VmId,
        reports: Vec<RateLimitReport>,
    ) {
        let mut newer = Vec::new();
        for report in reports {
            if !self.may_be_running(&report.upstream) {
                continue;
            }
            let reported = RateStatement {
                per_s: report.per_s,
                sent_at: out.now - report.sent_ms,
                received_at: out.now - report.received_ms,
            };
            let upstream = report.upstream.id.clone();
            if self.rate_limits.on_report(&upstream, reported) {
                out.log(DispatchRecord::UpstreamRateLimit {
                    request: None,
                    upstream,
                    per_s: reported.per_s,
                    reported_by: Some(peer.clone()),
                });
                continue;
            }
            let own = self.rate_limits.last_statement(&upstream);
            if let Some(own) = own.filter(|own| own.per_s != reported.per_s) {
                newer.push(rate_limit_report(out.now, report.upstream, &own));
            }
        }
        notify_rate_limits(out, peer, newer);
    }

    /// Reports the known rate limits to a peer that has just connected.
    pub(super) fn report_rate_limits(&self, out: &mut Out<'_>, peer: &VmId) {
        let known = self.rate_limits.statements();
        let reports = known.filter_map(|(upstream, statement)| {
            let incarnation = self.fleet.get(upstream)?.record.incarnation();
            Some(rate_limit_report(out.now, incarnation, statement))
        });
        let reports: Vec<_> = reports.collect();
        notify_rate_limits(out, peer, reports);
    }

    /// Whether this is the known incarnation of an upstream. Until the list of upstreams is read, none is
    /// known, and peers report limits only once.
    fn may_be_running(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.fleet.is_current(incarnation) || !self.fleet.loaded()
    }

    /// Number of requests that an upstream takes now; none if it has no rate limit.
    pub(super) fn rate_credit_len(&self, now: Time, upstream: &UpstreamId) -> Option<usize> {
        let share_ratio = self.heard_share_ratio();
        self.rate_limits.credit_len(now, upstream, share_ratio)
    }

    /// Counts a request against the rate limits of its upstream and of those that prefill parts of it.
    pub(super) fn count_against_rate_limits<'a>(
        &mut self,
        now: Time,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
    ) {
        let share_ratio = self.heard_share_ratio();
        for upstream in upstreams {
            self.rate_limits.on_sent(now, upstream, share_ratio);
        }
    }
}

fn rate_limit_report(
    now: Time,
    upstream: UpstreamIncarnation,
    statement: &RateStatement,
) -> RateLimitReport {
    RateLimitReport {
        upstream,
        per_s: statement.per_s,
        sent_ms: now.since(statement.sent_at),
        received_ms: now.since(statement.received_at),
    }
}

fn notify_rate_limits(out: &mut Out<'_>, peer: &VmId, reports: Vec<RateLimitReport>) {
    if !reports.is_empty() {
        out.act(DispatchAction::Notify {
            to: Some(peer.clone()),
            message: DispatchMessage::RateLimits(reports),
        });
    }
}
