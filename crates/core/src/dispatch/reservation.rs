//! Reservations of KV memory at helper engines, for prompts that exceed the memory of one engine.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out},
    placement::Placement,
    DispatchAction, DispatchRecord, DispatchSettings, RefusalReason, SendOutcome,
};
use crate::{
    fleet::UpstreamIncarnation,
    ids::{CallId, UpstreamId},
    path::PathPlan,
    units::{Millis, Time, Tokens},
};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

/// Renewals within the time to live of a reservation, so that one may be lost.
const RENEWALS_PER_TTL_COUNT: u64 = 2;

/// Time between two orders to release a reservation.
const RELEASE_RETRY_MS: Millis = Millis::new(1_000);

/// Time for which an engine may still execute an order that it did not answer. Engines execute such
/// orders up to 12 s late.
const LATE_ORDER_MAX_MS: Millis = Millis::new(12_500);

/// Time before the end of an unused reservation at which its request is given up, so that a lost release can be
/// repeated.
const UNUSED_END_LEAD_MS: Millis = Millis::new(1_000);

/// Maximum number of groups of engines that are tried for one call.
const GROUPS_MAX_COUNT: u32 = 3;

/// The kind of an order about a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Reserve memory, or renew the reservation.
    Reserve {
        /// Memory, in tokens.
        tokens: Tokens,
        /// Time to live of the reservation.
        hold_ms: Millis,
    },
    /// Release the reservation.
    Release,
}

/// An order to an engine about a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReserveOrder {
    /// The reservation's name.
    pub ticket: Arc<str>,
    /// The engine.
    pub upstream: UpstreamId,
    /// Start of the engine's process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The address that the engine listens at.
    pub address: SocketAddr,
    /// The paths to the engine.
    pub paths: PathPlan,
    /// The kind of the order.
    pub kind: OrderKind,
}

impl ReserveOrder {
    /// The incarnation of the engine that the order is for.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            id: self.upstream.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine executed the order.
    Done,
    /// The engine did not execute the order and never will.
    Refused,
    /// No answer came: the engine may have executed the order, or may do so seconds later.
    Lost,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The first order is not answered yet.
    Requested,
    /// The engine has reserved the memory.
    Held,
    /// The reservation is being released.
    Releasing,
}

#[derive(Debug)]
struct Reservation {
    call: CallId,
    upstream: UpstreamId,
    started_unix_ms: u64,
    address: SocketAddr,
    tokens: Tokens,
    state: State,
    reserved_at: Time,
    next_at: Time,
    may_execute_until: Time,
}

impl Reservation {
    /// Time to live for a reserve order that is sent now. Until the call's first event, the memory counts as
    /// unused, so no lease goes beyond `unused_max_ms` after the first order.
    fn hold_ms(&self, now: Time, has_begun: bool, settings: &DispatchSettings) -> Millis {
        let ttl_ms = settings.reservation_ttl_ms;
        if has_begun {
            return ttl_ms;
        }
        let unused_until = self.reserved_at + settings.reservation_unused_max_ms;
        ttl_ms.min(unused_until.since(now))
    }
}

/// The reservations of one daemon.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    tickets: BTreeMap<Arc<str>, Reservation>,
}

impl Reservations {
    /// When the next order is due.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        self.tickets
            .values()
            .map(|reservation| reservation.next_at)
            .min()
    }

    fn of_call(&self, call: CallId) -> impl Iterator<Item = (&Arc<str>, &Reservation)> {
        let tickets = self.tickets.iter();
        tickets.filter(move |(_, reservation)| {
            reservation.call == call && reservation.state != State::Releasing
        })
    }

    /// The name of a call's reservation at an engine.
    pub(super) fn ticket(&self, call: CallId, upstream: &UpstreamId) -> Option<Arc<str>> {
        let mut tickets = self.of_call(call);
        let found = tickets.find(|(_, reservation)| reservation.upstream == *upstream);
        found.map(|(ticket, _)| Arc::clone(ticket))
    }
}

impl Dispatcher {
    /// Reserves memory at the helpers that are to hold part of the prompt's KV memory. The call is sent
    /// when all have confirmed.
    pub(super) fn reserve(&mut self, out: &mut Out<'_>, call: CallId, placement: Placement) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        open.groups_count += 1;
        let name = format!("{}-{}", open.call.request_id, open.groups_count);
        let ttl_ms = self.settings.reservation_ttl_ms;
        let mut orders = Vec::new();
        let holders = placement
            .helpers
            .iter()
            .filter(|helper| helper.memory_tokens > Tokens::ZERO);
        for (index, holder) in holders.enumerate() {
            let Some(known) = self.fleet.get(&holder.upstream) else {
                continue;
            };
            let reservation = Reservation {
                call,
                upstream: holder.upstream.clone(),
                started_unix_ms: known.record.started_unix_ms,
                address: known.record.address,
                tokens: holder.memory_tokens,
                state: State::Requested,
                reserved_at: out.now,
                next_at: out.now + renewal_interval_ms(ttl_ms),
                may_execute_until: Time::START,
            };
            let ticket: Arc<str> = format!("{name}-{index}").into();
            let hold_ms = reservation.hold_ms(out.now, false, &self.settings);
            orders.push(order(&ticket, &reservation, hold_ms));
            self.reservations.tickets.insert(ticket, reservation);
        }
        open.reserving = Some(placement);
        self.send_orders(out, orders);
    }

    /// Handles the outcome of an order.
    pub(super) fn on_order_ended(
        &mut self,
        out: &mut Out<'_>,
        ticket: &Arc<str>,
        kind: OrderKind,
        end: OrderOutcome,
    ) {
        let Some(reservation) = self.reservations.tickets.get_mut(ticket) else {
            return;
        };
        if end != OrderOutcome::Done {
            out.log(DispatchRecord::OrderFailed {
                ticket: Arc::clone(ticket),
                upstream: reservation.upstream.clone(),
                kind,
                end,
            });
        }
        if end == OrderOutcome::Lost && kind != OrderKind::Release {
            reservation.may_execute_until = out.now + LATE_ORDER_MAX_MS;
        }
        let call = reservation.call;
        match (reservation.state, kind, end) {
            (State::Requested, OrderKind::Reserve { .. }, OrderOutcome::Done) => {
                reservation.state = State::Held;
                self.send_reserved(out, call);
            }
            (State::Requested, OrderKind::Reserve { .. }, _) => {
                let holder = reservation.upstream.clone();
                self.try_other_group(out, call, holder);
            }
            (State::Held, OrderKind::Reserve { .. }, OrderOutcome::Lost) => {
                reservation.next_at = out.now;
            }
            (State::Releasing, OrderKind::Release, OrderOutcome::Done | OrderOutcome::Refused)
                if reservation.may_execute_until <= out.now =>
            {
                self.reservations.tickets.remove(ticket);
            }
            _ => {}
        }
    }

    fn send_reserved(&mut self, out: &mut Out<'_>, call: CallId) {
        let requested = |(_, reservation): (_, &Reservation)| reservation.state == State::Requested;
        if self.reservations.of_call(call).any(requested) {
            return;
        }
        let open = self.calls.get_mut(&call);
        let Some(placement) = open.and_then(|open| open.reserving.take()) else {
            return;
        };
        let lost = placement
            .upstreams()
            .find(|id| !self.takes_work(out.now, id));
        match lost.cloned() {
            Some(upstream) => self.try_other_group(out, call, upstream),
            None => self.send(out, call, placement),
        }
    }

    /// Releases the call's reservations and tries other engines.
    fn try_other_group(&mut self, out: &mut Out<'_>, call: CallId, holder: UpstreamId) {
        self.release(out, call);
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        open.reserving = None;
        open.excluded.push(holder);
        if open.groups_count < GROUPS_MAX_COUNT {
            self.place_call(out, call);
        } else {
            self.give_up(out, call, RefusalReason::NoCapacity);
        }
    }

    /// Releases the reservations of a call.
    pub(super) fn release(&mut self, out: &mut Out<'_>, call: CallId) {
        let mut orders = Vec::new();
        for (ticket, reservation) in &mut self.reservations.tickets {
            if reservation.call == call && reservation.state != State::Releasing {
                reservation.state = State::Releasing;
                reservation.next_at = out.now + RELEASE_RETRY_MS;
                orders.push(order(ticket, reservation, Millis::ZERO));
            }
        }
        self.send_orders(out, orders);
    }

    /// Ends the calls whose memory has been reserved for too long while they have not begun.
    fn end_unused(&mut self, out: &mut Out<'_>) {
        let limit_ms = self.unused_limit_ms();
        let has_begun = |call| self.has_begun(call);
        let due = self.reservations.tickets.values().filter(|reservation| {
            reservation.state != State::Releasing
                && reservation.reserved_at + limit_ms <= out.now
                && !has_begun(reservation.call)
        });
        let calls: BTreeSet<_> = due.map(|reservation| reservation.call).collect();
        for call in calls {
            self.end_unused_call(out, call);
        }
    }

    /// Moves a call whose reserved memory is unused to other engines, or ends it if none can take it now: it may
    /// have run, and an answer that comes later must not be mixed with that of another engine.
    fn end_unused_call(&mut self, out: &mut Out<'_>, call: CallId) {
        let Some(open) = self.calls.get(&call) else {
            return self.release(out, call);
        };
        let Some(sending) = open.sending.clone() else {
            return self.give_up(out, call, RefusalReason::NoCapacity);
        };
        let end = SendOutcome::Lost {
            reason: "reserved memory is not used".to_owned(),
            stalled: true,
        };
        if !self.move_sending(out, call, &sending, &end) {
            self.give_up(out, call, RefusalReason::UpstreamFailed);
        }
    }

    /// Whether the first event of a call's transmission has come. That of an earlier transmission says nothing of
    /// the engines that have memory reserved now.
    fn has_begun(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(OpenCall::has_begun)
    }

    /// Time from a reservation within which its request must begin.
    pub(super) fn unused_limit_ms(&self) -> Millis {
        let unused_max_ms = self.settings.reservation_unused_max_ms;
        unused_max_ms.saturating_sub(UNUSED_END_LEAD_MS)
    }

    /// Sends the renewals and releases that are due. An engine that is gone needs no release.
    pub(super) fn progress_reservations(&mut self, out: &mut Out<'_>) {
        self.end_unused(out);
        let ttl_ms = self.settings.reservation_ttl_ms;
        let fleet = &self.fleet;
        let known = |reservation: &Reservation| fleet.get(&reservation.upstream).is_some();
        self.reservations
            .tickets
            .retain(|_, reservation| known(reservation));
        let mut orders = Vec::new();
        for (ticket, reservation) in &mut self.reservations.tickets {
            if reservation.next_at > out.now {
                continue;
            }
            reservation.next_at = out.now
                + match reservation.state {
                    State::Requested | State::Held => renewal_interval_ms(ttl_ms),
                    State::Releasing => RELEASE_RETRY_MS,
                };
            let open = self.calls.get(&reservation.call);
            let has_begun = open.is_some_and(OpenCall::has_begun);
            let hold_ms = reservation.hold_ms(out.now, has_begun, &self.settings);
            orders.push(order(ticket, reservation, hold_ms));
        }
        self.send_orders(out, orders);
    }

    fn send_orders(&self, out: &mut Out<'_>, orders: Vec<ReserveOrder>) {
        for mut order in orders {
            if let Some(known) = self.fleet.get(&order.upstream) {
                order.paths = self.path_plan(out.now, &known.record);
            }
            out.act(DispatchAction::Order(order));
        }
    }
}

/// Time between two renewals of a reservation.
fn renewal_interval_ms(ttl_ms: Millis) -> Millis {
    Millis::new(ttl_ms.get() / (RENEWALS_PER_TTL_COUNT + 1))
}

/// The order that a reservation needs in its state.
fn order(ticket: &Arc<str>, reservation: &Reservation, hold_ms: Millis) -> ReserveOrder {
    let kind = match reservation.state {
        State::Requested | State::Held => OrderKind::Reserve {
            tokens: reservation.tokens,
            hold_ms,
        },
        State::Releasing => OrderKind::Release,
    };
    ReserveOrder {
        ticket: Arc::clone(ticket),
        upstream: reservation.upstream.clone(),
        started_unix_ms: reservation.started_unix_ms,
        address: reservation.address,
        paths: PathPlan::direct(),
        kind,
    }
}
