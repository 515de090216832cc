//! Answers in which upstreams state a rate limit, or no longer do.

use super::{
    dispatcher::{Dispatcher, Out},
    rate_limit::RateStatement,
    DispatchRecord,
};
use crate::{
    fleet::UpstreamIncarnation,
    units::{Millis, RequestsPerSecond},
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
    /// have answered, it applies to all that are known at the address.
    pub(super) fn on_rate_notice(&mut self, out: &mut Out<'_>, notice: RateLimitNotice) {
        let concerned: Vec<_> = if notice.is_misdirected {
            let known = self.fleet.at_address(notice.address);
            known.map(|known| known.record.incarnation()).collect()
        } else {
            vec![notice.upstream]
        };
        let statement = RateStatement {
            per_s: notice.per_s,
            sent_at: out.now - notice.answered_after_ms,
            received_at: out.now,
        };
        for incarnation in concerned {
            let known = self.fleet.get(&incarnation.id);
            if known.is_none_or(|known| known.record.incarnation() != incarnation) {
                continue;
            }
            if self.rate_limits.on_statement(&incarnation.id, statement) {
                out.log(DispatchRecord::UpstreamRateLimit {
                    request: notice.request.clone(),
                    upstream: incarnation.id,
                    per_s: statement.per_s,
                });
            }
        }
    }
}
