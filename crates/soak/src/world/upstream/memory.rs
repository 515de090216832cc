//! Reservations of an engine's memory.

use super::{
    answer::{empty, with, Body},
    incarnation::Incarnation,
};
use crate::{history::Observation, world::catalog::MEMORY};
use http::{Response, StatusCode};
use persimmon_core::units::Tokens;
use persimmon_platform::stub_formats::{order_answer_body, parse_order, Order};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep_until, Instant};

impl Incarnation {
    /// Carries an order about a reservation out.
    pub(super) fn on_order(self: &Arc<Self>, body: &[u8]) -> Response<Body> {
        match parse_order(body) {
            Ok(Order::Reserve {
                ticket,
                tokens,
                hold_ms,
            }) => self.hold(ticket, tokens, Duration::from_millis(hold_ms)),
            Ok(Order::Release { ticket }) => {
                self.free(&ticket);
                with(Response::builder(), order_answer_body(MEMORY))
            }
            Err(_) => empty(StatusCode::BAD_REQUEST),
        }
    }

    fn hold(self: &Arc<Self>, ticket: String, tokens: u64, hold: Duration) -> Response<Body> {
        let mut status = self.lock();
        let others = status.tickets.iter().filter(|(other, _)| **other != ticket);
        let taken: u64 = others.map(|(_, (tokens, _))| *tokens).sum();
        if taken + tokens > MEMORY.get() {
            return empty(StatusCode::CONFLICT);
        }
        let until = Instant::now() + hold;
        status.tickets.insert(ticket.clone(), (tokens, until));
        drop(status);
        self.history.note(Observation::Held {
            ticket: ticket.as_str().into(),
        });
        let this = Arc::clone(self);
        tokio::spawn(async move {
            sleep_until(until).await;
            let known = this.lock().tickets.get(&ticket).copied();
            if known.is_some_and(|(_, until)| until <= Instant::now()) {
                this.free(&ticket);
            }
        });
        let free = Tokens::new(MEMORY.get() - taken - tokens);
        with(Response::builder(), order_answer_body(free))
    }

    fn free(&self, ticket: &str) {
        if self.lock().tickets.remove(ticket).is_some() {
            self.history.note(Observation::Freed {
                ticket: ticket.into(),
            });
        }
    }
}
