//! Sends reservation orders to engines.

use super::{CallLimits, Dialect, Hub, Pool, PoolError, Target};
use http_body_util::Full;
use persimmon_core::{
    dispatch::{DispatchEvent, LeavingNotice, OrderOutcome, RateLimitNotice, ReserveOrder},
    units::Millis,
};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Limits of an engine's answer to an order. It has a few numbers, and many orders may be open.
const ORDER_LIMITS: CallLimits = CallLimits {
    time: Duration::from_millis(400),
    body_max_bytes: 64 << 10,
};

/// Sends an order to an engine and reports the outcome to the control thread.
pub async fn send_order(
    pool: Rc<Pool>,
    dialect: Rc<dyn Dialect>,
    hub: Arc<Hub>,
    order: ReserveOrder,
) {
    let sent_at = Instant::now();
    let request = dialect.order_request(&order).map(Full::new);
    let target = Target::upstream(order.address, order.incarnation(), order.paths.clone());
    let end = match pool.call(&target, request, ORDER_LIMITS).await {
        Ok(answer) => {
            let (head, _) = answer.into_parts();
            let parsed = dialect.parse_response(&head);
            if parsed.is_leaving {
                hub.send_event(DispatchEvent::UpstreamLeaving(LeavingNotice {
                    upstream: order.incarnation(),
                    address: order.address,
                    is_misdirected: parsed.wrong_upstream,
                    request: None,
                }));
            }
            if let Some(per_s) = parsed.stated_rate_limit() {
                hub.send_event(DispatchEvent::UpstreamRateLimit(RateLimitNotice {
                    upstream: order.incarnation(),
                    address: order.address,
                    is_misdirected: parsed.wrong_upstream,
                    request: None,
                    per_s: Some(per_s),
                    answered_after_ms: Millis::new(sent_at.elapsed().as_millis() as u64),
                }));
            }
            if head.status.is_success() {
                OrderOutcome::Done
            } else {
                OrderOutcome::Refused
            }
        }
        Err(PoolError::NotSent { .. } | PoolError::Exhausted { .. }) => OrderOutcome::Refused,
        Err(PoolError::Lost { .. }) => OrderOutcome::Lost,
    };
    hub.send_event(DispatchEvent::OrderEnded {
        ticket: order.ticket,
        kind: order.kind,
        end,
    });
}
