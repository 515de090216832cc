//! Memory reservations of an engine.

use super::{
    incarnation::Incarnation,
    response::{empty_response, response_with_body, Body},
};
use crate::{history::Observation, testbed::catalog::KV_MEMORY};
use http::{Response, StatusCode};
use persimmon_core::units::Tokens;
use persimmon_platform::stub_formats::{order_answer_body, parse_order, Order};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep_until, Instant};

impl Incarnation {
    /// Executes an order to reserve or release memory.
    pub(super) fn handle_order(self: &Arc<Self>, body: &[u8]) -> Response<Body> {
        match parse_order(body) {
            Ok(Order::Reserve {
                ticket,
                tokens,
                hold_ms,
            }) => self.reserve(ticket, tokens, Duration::from_millis(hold_ms)),
            Ok(Order::Release { ticket }) => {
                self.release(&ticket);
                response_with_body(Response::builder(), order_answer_body(KV_MEMORY))
            }
            Err(_) => empty_response(StatusCode::BAD_REQUEST),
        }
    }

    fn reserve(self: &Arc<Self>, ticket: String, tokens: u64, hold: Duration) -> Response<Body> {
        let mut state = self.lock();
        let others = state.tickets.iter().filter(|(other, _)| **other != ticket);
        let reserved_tokens: u64 = others.map(|(_, (tokens, _))| *tokens).sum();
        if reserved_tokens + tokens > KV_MEMORY.get() {
            return empty_response(StatusCode::CONFLICT);
        }
        let until = Instant::now() + hold;
        state.tickets.insert(ticket.clone(), (tokens, until));
        drop(state);
        self.history.record(Observation::MemoryReserved {
            ticket: ticket.as_str().into(),
        });
        let this = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(until).await;
            let known = this.lock().tickets.get(&ticket).copied();
            if known.is_some_and(|(_, until)| until <= Instant::now()) {
                this.release(&ticket);
            }
        });
        let free = Tokens::new(KV_MEMORY.get() - reserved_tokens - tokens);
        response_with_body(Response::builder(), order_answer_body(free))
    }

    fn release(&self, ticket: &str) {
        if self.lock().tickets.remove(ticket).is_some() {
            self.history.record(Observation::MemoryReleased {
                ticket: ticket.into(),
            });
        }
    }
}
