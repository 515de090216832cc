//! Which daemons may take the last free slots of an engine, or the last requests that a cold one
//! bears. Answers the load in which many daemons see the same slot become free in the same moment, and
//! all send there: it is drawn anew for each engine and each moment who may, so that about as many do
//! as there are slots.

use super::{
    dispatcher::{Dispatcher, OpenCall},
    slow_start::RECENT_SPAN_MS,
};
use crate::{
    ids::{ServiceName, UpstreamId},
    units::{Millis, Time},
};
use xxhash_rust::xxh3::xxh3_64;

/// Time until a daemon's choice is known to the first of its peers, and for each further one.
const NOTIFY_FIRST_MS: f64 = 2.0;
const NOTIFY_PEER_MS: f64 = 0.4;

/// Calls that wait at each other daemon, for each one that waits here.
const WAITING_RATIO: f64 = 1.0;

/// Those who compete for free slots of a service in one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contention {
    /// How many calls are about to be sent by daemons that can't see each other's choice.
    calls: f64,
    /// The moment: as long as a choice takes to be known.
    window_index: u64,
}

impl Dispatcher {
    /// Who competes for the free slots of a service now.
    pub(super) fn contention(&self, now: Time, service: &ServiceName) -> Contention {
        let members = self.members_len() as f64;
        let notify_ms = NOTIFY_FIRST_MS + NOTIFY_PEER_MS * (members - 1.0);
        let arriving = self.expected_calls(now, service, notify_ms);
        let waits = |open: &&OpenCall| open.waiting_since.is_some() && open.sending.is_none();
        let waiting_len = self.calls.values().filter(waits).count();
        let waiting = waiting_len as f64 * (members - 1.0) * WAITING_RATIO;
        let since_start_ms = now.since(Time::START).get();
        Contention {
            calls: arriving + waiting,
            window_index: since_start_ms / Millis::new(notify_ms as u64).get().max(1),
        }
    }

    /// Whether this daemon may take one of the free slots of an upstream in this moment.
    pub(super) fn may_claim(
        &self,
        contention: Contention,
        upstream: &UpstreamId,
        free_len: usize,
    ) -> bool {
        if free_len as f64 >= contention.calls {
            return true;
        }
        let window = contention.window_index;
        let share = free_len as f64 / contention.calls;
        hash_ratio(&format!("{}\n{upstream}\n{window}", self.vm)) <= share
    }

    /// Calls of a service that all daemons are expected to send within a span, judged by what they
    /// sent lately.
    pub(super) fn expected_calls(&self, now: Time, service: &ServiceName, span_ms: f64) -> f64 {
        let usable = self.fleet.usable(service);
        let recent = usable.map(|upstream| self.slow_start.recent_len(now, &upstream.record.id));
        recent.sum::<usize>() as f64 * span_ms / RECENT_SPAN_MS.get() as f64
    }
}

/// A share from 0 to 1 that is the same for the same text, and evenly spread over texts.
pub(super) fn hash_ratio(text: &str) -> f64 {
    xxh3_64(text.as_bytes()) as f64 / u64::MAX as f64
}
