//! Contention for the last free slots of an engine, or for the last requests that a cold engine may
//! get. Many daemons see the same slot become free at once, and without coordination all would send
//! there. A hash of daemon, engine and time window decides which daemons may send, so that about as
//! many do as slots are free.

use super::{
    dispatcher::{Dispatcher, OpenCall},
    slow_start::RECENT_SPAN_MS,
};
use crate::{
    ids::{ServiceName, UpstreamId},
    units::{Millis, Time},
};
use xxhash_rust::xxh3::xxh3_64;

/// Time until the first peer knows of a daemon's choice, and additional time for each further peer.
const NOTIFY_FIRST_MS: f64 = 2.0;
const NOTIFY_PEER_MS: f64 = 0.4;

/// Assumed number of calls queued at each other daemon for each call queued at this one.
const PEER_QUEUE_RATIO: f64 = 1.0;

/// Competition for the free slots of a service in one time window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contention {
    /// Expected number of calls that daemons send before they know of each other's choices.
    calls: f64,
    /// Number of the time window. A window lasts until all peers know of a choice.
    window_index: u64,
}

impl Dispatcher {
    /// The competition for the free slots of a service at `now`.
    pub(super) fn contention(&self, now: Time, service: &ServiceName) -> Contention {
        let members = self.members_len() as f64;
        let notify_ms = NOTIFY_FIRST_MS + NOTIFY_PEER_MS * (members - 1.0);
        let arriving = self.expected_calls(now, service, notify_ms);
        let waits = |open: &&OpenCall| open.waiting_since.is_some() && open.sending.is_none();
        let waiting_len = self.calls.values().filter(waits).count();
        let waiting = waiting_len as f64 * (members - 1.0) * PEER_QUEUE_RATIO;
        let since_start_ms = now.since(Time::START).get();
        Contention {
            calls: arriving + waiting,
            window_index: since_start_ms / Millis::new(notify_ms as u64).get().max(1),
        }
    }

    /// Whether this daemon may take one of the upstream's free slots in this time window.
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

    /// Calls of a service that all daemons are expected to send within a span, extrapolated from the
    /// last second.
    pub(super) fn expected_calls(&self, now: Time, service: &ServiceName, span_ms: f64) -> f64 {
        let usable = self.fleet.usable(service);
        let recent = usable.map(|upstream| self.slow_start.recent_len(now, &upstream.record.id));
        recent.sum::<usize>() as f64 * span_ms / RECENT_SPAN_MS.get() as f64
    }
}

/// Hash of a text as a number from 0 to 1, evenly distributed over texts.
pub(super) fn hash_ratio(text: &str) -> f64 {
    xxh3_64(text.as_bytes()) as f64 / u64::MAX as f64
}
