//! Sends reservation orders to engines.

use super::{Dialect, Hub, Pool, PoolError};
use http_body_util::Full;
use persimmon_core::dispatch::{DispatchEvent, OrderOutcome, ReserveOrder};
use std::{rc::Rc, sync::Arc, time::Duration};

/// Time limit for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends an order to an engine and reports the outcome to the control thread.
pub async fn send_order(
    pool: Rc<Pool>,
    dialect: Rc<dyn Dialect>,
    hub: Arc<Hub>,
    order: ReserveOrder,
) {
    let request = dialect.order_request(&order).map(Full::new);
    let end = match pool.call(order.address, request, ORDER_TIMEOUT).await {
        Ok(answer) if answer.status().is_success() => OrderOutcome::Done,
        Ok(_) | Err(PoolError::NotSent { .. } | PoolError::Exhausted { .. }) => {
            OrderOutcome::Refused
        }
        Err(PoolError::Lost { .. }) => OrderOutcome::Lost,
    };
    hub.send_event(DispatchEvent::OrderEnded {
        ticket: order.ticket,
        kind: order.kind,
        end,
    });
}
