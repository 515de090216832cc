//! Rate limits that upstreams state in their answers: the requests a second that an upstream takes from
//! all daemons together.
//!
//! A limit holds until an answer states another one or none, or until the upstream starts again. Answers
//! overtake each other, so each is known by the span in which the upstream wrote it: from the request's
//! sending to the answer's arrival. Of two answers whose spans overlap, the lower limit holds.

use crate::{
    ids::UpstreamId,
    units::{RequestsPerSecond, Time},
};
use std::collections::HashMap;

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
            self.received_at >= last.sent_at
        }
    }
}

/// The rate limits of upstreams.
#[derive(Debug, Default)]
pub struct RateLimitTable {
    upstreams: HashMap<UpstreamId, RateStatement>,
}

impl RateLimitTable {
    /// Records what an answer says. Returns whether the limit changed.
    pub fn on_statement(&mut self, upstream: &UpstreamId, statement: RateStatement) -> bool {
        let Some(last) = self.upstreams.get_mut(upstream) else {
            if statement.per_s.is_none() {
                return false;
            }
            self.upstreams.insert(upstream.clone(), statement);
            return true;
        };
        if statement.per_s == last.per_s {
            last.sent_at = last.sent_at.max(statement.sent_at);
            last.received_at = last.received_at.max(statement.received_at);
            return false;
        }
        let replaces = statement.replaces(last);
        if replaces {
            *last = statement;
        }
        replaces
    }

    /// The limit of an upstream, if it has one.
    pub fn per_s(&self, upstream: &UpstreamId) -> Option<RequestsPerSecond> {
        self.upstreams.get(upstream)?.per_s
    }

    /// Removes an upstream that is gone or started again.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }
}
