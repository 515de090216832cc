//! Rate limits that upstreams state in their answers: the requests a second that an upstream takes from
//! all daemons together.
//!
//! A limit holds until an answer states another one or none, or until the upstream starts again. Answers
//! overtake each other, so each is known by the span in which the upstream wrote it: from the request's
//! sending to the answer's arrival. Of two answers whose spans overlap, the lower limit holds.
//!
//! All daemons count the requests of all, by the reports of requests that they send each other anyway. A
//! daemon that has lost some of its peers keeps to the share of those that it still hears.

use super::token_bucket::TokenBucket;
use crate::{
    ids::UpstreamId,
    units::{RequestsPerSecond, Time},
};
use std::collections::HashMap;

/// Requests a second that upstreams get even if they state less. An upstream that gets none can't state
/// that its limit has ended.
const PROBES_PER_S: f64 = 1.0 / 30.0;

/// What an answer says about the rate limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStatement {
    /// The limit; none if the answer states none.
    pub per_s: Option<RequestsPerSecond>,
    /// When the request was sent: the upstream wrote the answer later.
    pub sent_at: Time,
    /// When the answer came.
    pub received_at: Time,
}

impl RateStatement {
    /// Whether this one allows more than the other.
    fn is_looser(&self, other: &Self) -> bool {
        match (self.per_s, other.per_s) {
            (None, limit) => limit.is_some(),
            (Some(_), None) => false,
            (Some(own), Some(others)) => own > others,
        }
    }

    /// Whether this one replaces the last known one: it is later, or may be and allows less.
    fn replaces(&self, last: &Self) -> bool {
        if self.is_looser(last) {
            self.sent_at >= last.received_at
        } else {
            !self.is_older(last)
        }
    }

    /// Whether this one was written before the other.
    fn is_older(&self, other: &Self) -> bool {
        self.received_at < other.sent_at
    }
}

/// The rate limit of one upstream, and its use by all daemons.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    statement: RateStatement,
    bucket: TokenBucket,
}

impl RateLimit {
    /// Requests a second that the daemons with this share of the limit may send.
    fn usable_per_s(&self, share_ratio: f64) -> Option<f64> {
        let per_s = self.statement.per_s?.get();
        Some(per_s.max(PROBES_PER_S) * share_ratio)
    }
}

/// The rate limits of upstreams.
#[derive(Debug, Default)]
pub struct RateLimitTable {
    upstreams: HashMap<UpstreamId, RateLimit>,
}

impl RateLimitTable {
    /// Records what an answer to this daemon says. Returns whether the limit changed.
    pub fn on_answer(&mut self, upstream: &UpstreamId, statement: RateStatement) -> bool {
        self.on_statement(upstream, statement, RateStatement::replaces)
    }

    /// Records what a peer reports. It has checked an answer against what it knew, so its statement holds
    /// unless it is certainly older than the last one known here.
    pub fn on_report(&mut self, upstream: &UpstreamId, statement: RateStatement) -> bool {
        self.on_statement(upstream, statement, |reported, last| {
            !reported.is_older(last)
        })
    }

    fn on_statement(
        &mut self,
        upstream: &UpstreamId,
        statement: RateStatement,
        replaces: impl Fn(&RateStatement, &RateStatement) -> bool,
    ) -> bool {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            let limit = RateLimit {
                statement,
                bucket: TokenBucket::empty(statement.received_at),
            };
            if statement.per_s.is_some() {
                self.upstreams.insert(upstream.clone(), limit);
            }
            return statement.per_s.is_some();
        };
        let last = &mut known.statement;
        if statement.per_s == last.per_s {
            last.sent_at = last.sent_at.max(statement.sent_at);
            last.received_at = last.received_at.max(statement.received_at);
            return false;
        }
        let is_new = replaces(&statement, last);
        if is_new {
            if last.per_s.is_none() {
                known.bucket = TokenBucket::empty(statement.received_at);
            }
            *last = statement;
        }
        is_new
    }

    /// The limit of an upstream, if it has one.
    pub fn per_s(&self, upstream: &UpstreamId) -> Option<RequestsPerSecond> {
        self.upstreams.get(upstream)?.statement.per_s
    }

    /// The last statement about an upstream's limit.
    pub fn last_statement(&self, upstream: &UpstreamId) -> Option<RateStatement> {
        Some(self.upstreams.get(upstream)?.statement)
    }

    /// The last statements about all upstreams that have stated a limit.
    pub fn statements(&self) -> impl Iterator<Item = (&UpstreamId, &RateStatement)> {
        let limits = self.upstreams.iter();
        limits.map(|(upstream, limit)| (upstream, &limit.statement))
    }

    /// Records a request to an upstream, by this daemon or a peer.
    pub fn on_sent(&mut self, now: Time, upstream: &UpstreamId, share_ratio: f64) {
        if let Some(limit) = self.upstreams.get_mut(upstream) {
            if let Some(per_s) = limit.usable_per_s(share_ratio) {
                limit.bucket.take(now, per_s);
            }
        }
    }

    /// Time in ms until an upstream takes one more request, after `queued_len` others. Zero for an
    /// upstream without a limit.
    pub fn wait_ms(
        &self,
        now: Time,
        upstream: &UpstreamId,
        share_ratio: f64,
        queued_len: usize,
    ) -> f64 {
        let limit = self.upstreams.get(upstream);
        let wait_ms = limit.and_then(|limit| {
            let per_s = limit.usable_per_s(share_ratio)?;
            Some(limit.bucket.wait_ms(now, per_s, queued_len))
        });
        wait_ms.unwrap_or_default()
    }

    /// Number of requests that an upstream takes now; none if it has no limit.
    pub fn credit_len(&self, now: Time, upstream: &UpstreamId, share_ratio: f64) -> Option<usize> {
        let limit = self.upstreams.get(upstream)?;
        let per_s = limit.usable_per_s(share_ratio)?;
        Some(limit.bucket.credit_len(now, per_s))
    }

    /// Removes an upstream that is gone or started again.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }
}
