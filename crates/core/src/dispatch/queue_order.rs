//! Which calls go first where there are more than can be served. Answers the load in which all would
//! wait for the same time, and all would be late: those that can still be on time take the free
//! slots, and those that are late already take only what they leave.

use super::{
    choose::ENGINES_PER_PROMPT_MAX_LEN,
    dispatcher::{Dispatcher, OpenCall},
};
use crate::{
    fleet::Upstream,
    ids::ServiceName,
    units::{Millis, Time},
};
use std::cmp::Reverse;

/// Span whose arrivals find free slots before calls that are late already: a tick of all daemons, and
/// their words about it.
const ARRIVALS_SPAN_MS: Millis = Millis::new(200);

/// Passes of an engine that writes until the first event of a prompt that has just come: what is left
/// of one, and its own.
const FIRST_PASSES: f64 = 2.0;

/// Place of a call that waits, the first one lowest.
pub(super) type QueueOrder = (u8, bool, Time, Reverse<Time>);

impl Dispatcher {
    /// The turn of a call that waits: by rank; those that can be on time by when that ends; of the
    /// others the newest first, which has the longest to go.
    pub(super) fn queue_order(&self, now: Time, open: &OpenCall) -> QueueOrder {
        let late = !can_be_on_time(now, open);
        let until = if late {
            Time::START
        } else {
            open.on_time_deadline()
        };
        (open.rank(), late, until, Reverse(open.arrived_at))
    }

    /// Whether a call leaves the free slots to others: it is late already, and they will need them.
    pub(super) fn yields_slots(&self, now: Time, open: &OpenCall) -> bool {
        let begun = open.tries_count > 0;
        !begun && !can_be_on_time(now, open) && !self.has_spare_slots(now, &open.service.name)
    }

    /// Whether more slots are free than the calls that are about to come will take.
    fn has_spare_slots(&self, now: Time, service: &ServiceName) -> bool {
        let free_len = |upstream: &Upstream| {
            let taken_len = self.in_flight.requests_len(&upstream.record.id);
            (upstream.record.slots_len as usize).saturating_sub(taken_len)
        };
        let free_len: usize = self.fleet.usable(service).map(free_len).sum();
        free_len as f64 > self.expected_calls(now, service, ARRIVALS_SPAN_MS.get() as f64)
    }
}

/// Whether a service with room could still be on time.
fn can_be_on_time(now: Time, open: &OpenCall) -> bool {
    let (Some(profile), Some(prompt)) = (&open.service.engine, open.call.prompt) else {
        return true;
    };
    let passes_ms = profile.pass_ms(0.0) * FIRST_PASSES;
    let read_ms = profile.read_ms(prompt.prompt_tokens);
    let read_ms = read_ms.min((read_ms / ENGINES_PER_PROMPT_MAX_LEN as f64).max(passes_ms));
    now + Millis::new((read_ms + passes_ms) as u64) <= open.on_time_deadline()
}
