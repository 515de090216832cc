//! Waits for an upstream, with reports of its silence.

use super::{
    reply::{CallerLeft, Reply},
    signals::Signals,
};
use persimmon_core::{dispatch::SendPlan, units::Millis};
use std::{future::Future, pin::pin, time::Duration};
use tokio::time::{sleep_until, Instant};

/// Least time between two reports of the same stall, and time between the two reports of a silence before it.
const STALL_REPORT_INTERVAL_MIN: Duration = Duration::from_millis(200);

/// For how long an upstream may be silent until that is reported.
#[derive(Clone, Copy)]
pub(super) struct Patience {
    /// Silence that may mean that the link is lost; none if that needs no check.
    check: Option<Duration>,
    /// Silence after which the upstream counts as stalled.
    limit: Duration,
}

impl Patience {
    /// Patience until the first byte of an answer.
    pub(super) const fn first_byte(plan: &SendPlan) -> Self {
        Self {
            check: Some(plan.first_check_ms.duration()),
            limit: plan.first_byte_timeout_ms.duration(),
        }
    }

    /// Patience between two events of a stream.
    pub(super) const fn between_events(plan: &SendPlan) -> Self {
        Self {
            check: Some(plan.pause_check_ms.duration()),
            limit: plan.pause_timeout_ms.duration(),
        }
    }

    /// Patience for a wait within which the link needs no check.
    pub(super) const fn unchecked(limit: Duration) -> Self {
        Self { check: None, limit }
    }

    /// What is left after some of the time has passed.
    pub(super) fn less(self, elapsed: Duration) -> Self {
        Self {
            check: self.check.map(|check| check.saturating_sub(elapsed)),
            limit: self.limit.saturating_sub(elapsed),
        }
    }
}

/// Waits for `future` or until the caller disconnects. Reports a silence that may mean that the link is lost, and
/// again a moment later, when the link has been checked. Reports a stall each time another limit has passed.
pub(super) async fn wait_reporting_stalls<F: Future>(
    reply: &mut Reply,
    patience: Patience,
    signals: Signals<'_>,
    future: F,
) -> Result<F::Output, CallerLeft> {
    let waiting_since = Instant::now();
    let limit = patience.limit.max(STALL_REPORT_INTERVAL_MIN);
    let check = patience.check.filter(|check| *check < limit);
    let silences = check.map(|check| [check, check + STALL_REPORT_INTERVAL_MIN]);
    let silences = silences.into_iter().flatten();
    let mut silences = silences.map(|after| waiting_since + after);
    let mut silent_at = silences.next();
    let mut stalled_at = waiting_since + limit;
    let mut future = pin!(future);
    loop {
        let reports_silence = silent_at.filter(|at| *at < stalled_at);
        tokio::select! {
            biased;
            () = reply.closed() => return Err(CallerLeft),
            output = future.as_mut() => return Ok(output),
            () = sleep_until(reports_silence.unwrap_or(stalled_at)) => {
                if reports_silence.is_some() {
                    silent_at = silences.next();
                    (signals.on_silent)();
                } else {
                    stalled_at += limit;
                    (signals.on_stall)(Millis::new(waiting_since.elapsed().as_millis() as u64));
                }
            }
        }
    }
}
