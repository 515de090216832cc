//! Order in which queued calls get free slots under overload. In plain arrival order all calls
//! would wait equally long and all would be late. So calls that can still be on time go first, and
//! calls that are already late get only the slots that remain.

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

/// Free slots are kept for the arrivals of this span before late calls get any. The span covers a
/// tick of all daemons and the messages that report what they sent.
const ARRIVALS_SPAN_MS: Millis = Millis::new(200);

/// Passes of a decoding engine until the first event of a new prompt: the rest of the pass that
/// runs, and the prompt's own.
const FIRST_EVENT_PASSES: f64 = 2.0;

/// Sort key of a queued call; the lowest goes first.
pub(super) type QueueOrder = (u8, bool, bool, Time, Reverse<Time>);

impl Dispatcher {
    /// Sort key of a queued call: by priority, then those of workspaces within their share, then calls that
    /// can still be on time by their deadline for that, then late calls with the newest first, as it has the
    /// most time left.
    pub(super) fn queue_order(&self, now: Time, open: &OpenCall) -> QueueOrder {
        let late = !can_be_on_time(now, open);
        let deadline = if late {
            Time::START
        } else {
            open.on_time_deadline()
        };
        let is_over_share = self.over_share(now, open).is_some();
        let arrived_at = Reverse(open.arrived_at);
        (open.priority(), is_over_share, late, deadline, arrived_at)
    }

    /// Whether a call leaves the free slots to others, because it is already late and the arrivals to
    /// be expected need the slots.
    pub(super) fn yields_slots(&self, now: Time, open: &OpenCall) -> bool {
        let already_sent = open.tries_count > 0;
        !already_sent
            && !can_be_on_time(now, open)
            && !self.has_spare_slots(now, &open.service.name)
    }

    /// Whether more slots are free than the expected arrivals of the next `ARRIVALS_SPAN_MS` take.
    fn has_spare_slots(&self, now: Time, service: &ServiceName) -> bool {
        let free_len = |upstream: &Upstream| {
            if self.backoff.is_active(now, &upstream.record.id) {
                return 0;
            }
            let taken_len = self.in_flight.requests_len(&upstream.record.id);
            let free_len = (upstream.record.slots_len as usize).saturating_sub(taken_len);
            let credit_len = self.rate_credit_len(now, &upstream.record.id);
            free_len.min(credit_len.unwrap_or(usize::MAX))
        };
        let free_len: usize = self.fleet.usable(service).map(free_len).sum();
        free_len as f64 > self.expected_calls(now, service, ARRIVALS_SPAN_MS.get() as f64)
    }
}

/// Whether an idle service could still begin the answer on time.
fn can_be_on_time(now: Time, open: &OpenCall) -> bool {
    let (Some(profile), Some(prompt)) = (&open.service.engine, open.call.prompt) else {
        return true;
    };
    let passes_ms = profile.pass_ms(0.0) * FIRST_EVENT_PASSES;
    let prefill_ms = profile.prefill_ms(prompt.prompt_tokens);
    let prefill_ms =
        prefill_ms.min((prefill_ms / ENGINES_PER_PROMPT_MAX_LEN as f64).max(passes_ms));
    now + Millis::new((prefill_ms + passes_ms) as u64) <= open.on_time_deadline()
}
