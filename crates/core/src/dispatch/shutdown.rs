//! Graceful shutdown.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord, RefusalReason,
};
use crate::units::{Millis, Time};

/// Longest time for which requests are accepted after the request to stop: the load balancer checks
/// readiness once a second and removes a daemon after two failed checks.
const ACCEPT_AFTER_STOP_MS: Millis = Millis::new(3_000);

/// Open calls are aborted for the last part of the grace period, which is the period divided by
/// this number: a VM with little CPU time needs most of a second to exit.
const ABORT_GRACE_DIVISOR: u64 = 6;

/// Time for the last answers to leave the process.
const FLUSH_MS: Millis = Millis::new(200);

/// State of a shutdown in progress.
#[derive(Debug)]
pub(super) struct Shutdown {
    pub(super) requested_at: Time,
    idle_closed: bool,
    aborted_at: Option<Time>,
    exited: bool,
}

impl Dispatcher {
    /// Starts the shutdown, unless one is in progress.
    pub(super) fn on_stop(&mut self, out: &mut Out<'_>) {
        if self.shutdown.is_some() {
            return;
        }
        self.shutdown = Some(Shutdown {
            requested_at: out.now,
            idle_closed: false,
            aborted_at: None,
            exited: false,
        });
        out.act(DispatchAction::DisableKeepAlive);
        self.notify_now(out.now, DispatchMessage::Relay(self.relay_offer()));
        out.log(DispatchRecord::Stopping {
            open_requests: self.calls.len(),
            grace_ms: self.settings.grace_ms,
        });
    }

    /// Whether new requests are refused because of the shutdown.
    pub(super) fn refuses_new(&self, now: Time) -> bool {
        self.shutdown.as_ref().is_some_and(|shutdown| {
            now.since(shutdown.requested_at) >= self.accept_ms() || shutdown.aborted_at.is_some()
        })
    }

    /// Time from the request to stop for which requests are still accepted. In a short grace period, those that come last
    /// have as much time to end as they were accepted for.
    fn accept_ms(&self) -> Millis {
        let half_ms = Millis::new(self.abort_after_ms().get() / 2);
        ACCEPT_AFTER_STOP_MS.min(half_ms)
    }

    /// Time from the request to stop until open calls are given up.
    fn abort_after_ms(&self) -> Millis {
        let grace_ms = self.settings.grace_ms;
        grace_ms.saturating_sub(Millis::new(grace_ms.get() / ABORT_GRACE_DIVISOR))
    }

    /// Performs the steps of the shutdown that are due.
    pub(super) fn progress_shutdown(&mut self, out: &mut Out<'_>) {
        let (accept_ms, abort_after_ms) = (self.accept_ms(), self.abort_after_ms());
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        let age_ms = out.now.since(shutdown.requested_at);
        if age_ms >= accept_ms && !shutdown.idle_closed {
            shutdown.idle_closed = true;
            out.act(DispatchAction::CloseIdleConnections);
        }
        let is_idle = self.calls.is_empty() && self.relays.relayed_len() == 0;
        let done = age_ms >= accept_ms && is_idle;
        if shutdown.aborted_at.is_none() && (done || age_ms >= abort_after_ms) {
            shutdown.aborted_at = Some(out.now);
            let open: Vec<_> = self.calls.keys().copied().collect();
            for call in open {
                self.give_up(out, call, RefusalReason::Stopping);
            }
        }
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        let flushed = shutdown
            .aborted_at
            .is_some_and(|at| out.now.since(at) >= FLUSH_MS);
        if flushed && !shutdown.exited {
            shutdown.exited = true;
            out.act(DispatchAction::Exit);
        }
    }
}
