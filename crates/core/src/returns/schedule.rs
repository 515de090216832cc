//! Choice of the time at which a refused caller is told to return.

use super::ReturnsSettings;
use crate::units::Millis;

/// When slots of a service become free. Beyond the last known time, slots become free at the average rate of the
/// known ones, because the calls that take them next hold them as long.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotForecast {
    free_ms: Vec<f64>,
}

impl SlotForecast {
    /// A forecast from the times in ms until slots become free, in any order.
    pub fn new(mut free_ms: Vec<f64>) -> Self {
        free_ms.sort_by(f64::total_cmp);
        Self { free_ms }
    }

    /// Time in ms until `count` slots have become free; none if nothing is known to become free.
    pub fn time_ms(&self, count: f64) -> Option<f64> {
        let last_ms = *self.free_ms.last()?;
        let index = (count.ceil() as usize).saturating_sub(1);
        let rounds = count / self.free_ms.len() as f64;
        let known = self.free_ms.get(index).copied();
        Some(known.unwrap_or(last_ms.max(1.0) * rounds))
    }

    /// Number of slots that become free within a time.
    fn freed_len(&self, within_ms: f64) -> f64 {
        let Some(last_ms) = self.free_ms.last() else {
            return 0.0;
        };
        let all_len = self.free_ms.len() as f64;
        if within_ms > *last_ms {
            return (all_len * within_ms / last_ms.max(1.0)).max(all_len);
        }
        self.free_ms.partition_point(|ms| *ms <= within_ms) as f64
    }
}

/// A call that can't be placed now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRequest {
    /// Time that the caller has left.
    pub left_ms: Millis,
    /// Time that an idle service takes for the call.
    pub service_ms: f64,
    /// Number of calls that wait for a slot before it, at all daemons.
    pub queued_len: usize,
    /// Number from 0 to 1 that differs by daemon and call, by which times are spread.
    pub drawn_ratio: f64,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryChoice {
    /// It returns at this time, and a slot is kept for it.
    Promise(Millis),
    /// It can't be served by a return: this is when a slot is likely to be free, and none is kept. The time is longer
    /// than the caller honours, so that it does not return for a slot that others get.
    Hint(Millis),
}

/// Chooses the earliest time at which the promised part of the slots is not yet promised to others.
/// `promised_ms` has the times of the promises for the service, in ascending order.
pub fn choose_retry(
    settings: &ReturnsSettings,
    forecast: &SlotForecast,
    promised_ms: &[Millis],
    request: &RetryRequest,
) -> Option<RetryChoice> {
    let promised_ratio = f64::from(settings.promised_percent) / 100.0;
    let queued = request.queued_len as f64;
    // Slots that must have become free when `promises` callers have returned.
    let needed = |promises: usize| queued + promises as f64 / promised_ratio;
    let is_short =
        |(index, ms): (usize, &Millis)| forecast.freed_len(ms.get() as f64) < needed(index + 2);
    // The new promise must not delay the later ones: it comes after the last that leaves no room.
    let last_short = promised_ms.iter().enumerate().rposition(is_short);
    let mut before_len = last_short.map_or(0, |index| index + 1);
    let least_ms = settings.least_ms.get() as f64;
    let earliest_ms = loop {
        let free_ms = forecast.time_ms(needed(before_len + 1))?.max(least_ms);
        match promised_ms.get(before_len) {
            Some(next) if (next.get() as f64) < free_ms => before_len += 1,
            _ => break free_ms,
        }
    };
    let honoured_ms = settings.honoured_ms(request.left_ms).get() as f64;
    let spread_ms = settings.spread_ms.get() as f64 * request.drawn_ratio;
    let retry_ms = (earliest_ms + spread_ms).min(honoured_ms.max(earliest_ms));
    let is_useful =
        earliest_ms <= honoured_ms && retry_ms + request.service_ms <= request.left_ms.get() as f64;
    let retry_ms = Millis::new(retry_ms as u64);
    Some(if is_useful {
        RetryChoice::Promise(retry_ms)
    } else {
        RetryChoice::Hint(retry_ms.max(settings.unhonoured_ms(request.left_ms)))
    })
}
