//! Graceful shutdown.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchRecord, RefusalReason,
};
use crate::units::{Millis, Time};

/// Time for which requests are still taken after the request to stop: the balancer asks once a
/// second and takes a daemon out after two misses.
const ACCEPT_MS: Millis = Millis::new(3_000);

/// Part of the grace, at its end, in which what is still open is broken off: a VM with little
/// processor time needs most of a second to end.
const BREAK_PARTS: u64 = 6;

/// Time for the last words to leave the process.
const FLUSH_MS: Millis = Millis::new(200);

/// A stop under way.
#[derive(Debug)]
pub(super) struct Stop {
    pub(super) asked_at: Time,
    idle_closed: bool,
    broken_at: Option<Time>,
    exited: bool,
}

impl Dispatcher {
    /// The process was asked to stop.
    pub(super) fn on_stop(&mut self, out: &mut Out<'_>) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(Stop {
            asked_at: out.now,
            idle_closed: false,
            broken_at: None,
            exited: false,
        });
        out.act(DispatchAction::DisableKeepAlive);
        out.log(DispatchRecord::Stopping {
            open_requests: self.calls.len(),
            grace_ms: self.settings.grace_ms,
        });
    }

    /// Whether new requests are refused because the end is near.
    pub(super) fn refuses_new(&self, now: Time) -> bool {
        let stop = self.stop.as_ref();
        stop.is_some_and(|stop| now.since(stop.asked_at) >= ACCEPT_MS)
    }

    /// Goes on with a stop that is under way.
    pub(super) fn progress_stop(&mut self, out: &mut Out<'_>) {
        let Some(stop) = &mut self.stop else { return };
        let age_ms = out.now.since(stop.asked_at);
        if age_ms >= ACCEPT_MS && !stop.idle_closed {
            stop.idle_closed = true;
            out.act(DispatchAction::CloseIdleConnections);
        }
        let grace_ms = self.settings.grace_ms;
        let last_ms = grace_ms.saturating_sub(Millis::new(grace_ms.get() / BREAK_PARTS));
        let done = age_ms >= ACCEPT_MS && self.calls.is_empty();
        if stop.broken_at.is_none() && (done || age_ms >= last_ms) {
            stop.broken_at = Some(out.now);
            let open: Vec<_> = self.calls.keys().copied().collect();
            for call in open {
                self.give_up(out, call, RefusalReason::Stopping);
            }
        }
        let Some(stop) = &mut self.stop else { return };
        let flushed = stop
            .broken_at
            .is_some_and(|at| out.now.since(at) >= FLUSH_MS);
        if flushed && !stop.exited {
            stop.exited = true;
            out.act(DispatchAction::Exit);
        }
    }
}
