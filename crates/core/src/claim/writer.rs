//! Writes that may wait: results, withdrawn claims and removals.

use super::write_budget::WriteBudget;
use crate::{
    action::Action,
    context::Context,
    decision::Record,
    platform::{CallToken, Condition, Part, PlatformError, TableAnswer, TableKey, TableOp, Write},
    units::{Millis, Time},
};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Most writes that wait.
const QUEUE_MAX_LEN: usize = 4096;
/// Most writes under way at a time.
const IN_FLIGHT_MAX_LEN: usize = 16;
/// Time until a write without an answer is sent again.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Pause after a failure of the store.
const RETRY_DELAY_MS: Millis = Millis::new(500);
/// Writes that are left over for fresh claims.
const WRITE_RESERVE: u32 = 2;

/// Writes of which each follows only where the one before found that its condition did not hold.
type FallbackChain = Vec<TableOp>;

/// The queue of writes that may wait. Each is idempotent and guarded by a condition.
#[derive(Debug)]
pub(super) struct Writer {
    queue: VecDeque<FallbackChain>,
    in_flight: BTreeMap<CallToken, (Time, FallbackChain)>,
    next_at: Time,
    /// Chains that found no place since the last alarm.
    dropped_count: u64,
}

/// Replaces a row that has `old` (or is absent) by `new` (or removes it).
pub(super) fn compare_and_swap(key: &TableKey, old: Option<Bytes>, new: Option<Bytes>) -> TableOp {
    let key = key.clone();
    let condition = match old {
        Some(value) => Condition::Equals {
            key: key.clone(),
            value,
        },
        None => Condition::Absent { key: key.clone() },
    };
    let write = match new {
        Some(value) => Write::Put { key, value },
        None => Write::Delete { key },
    };
    TableOp::Transact {
        conditions: vec![condition],
        writes: vec![write],
    }
}

impl Writer {
    pub(super) const fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            next_at: Time::START,
            dropped_count: 0,
        }
    }

    /// Adds writes, of which each follows where the condition of the one before did not hold.
    /// They are dropped with an alarm where the queue is full.
    pub(super) fn add(&mut self, chain: FallbackChain) {
        if self.queue.len() < QUEUE_MAX_LEN {
            self.queue.push_back(chain);
        } else {
            self.dropped_count += 1;
        }
    }

    /// Writes that wait.
    pub(super) fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Whether writes wait or have no answer yet.
    pub(super) fn has_pending_writes(&self) -> bool {
        !self.queue.is_empty() || !self.in_flight.is_empty()
    }

    /// Takes the answer of one of its writes. False where the call is not its own.
    pub(super) fn on_platform(
        &mut self,
        now: Time,
        token: CallToken,
        answer: &Result<TableAnswer, PlatformError>,
    ) -> bool {
        let Some((_, mut chain)) = self.in_flight.remove(&token) else {
            return false;
        };
        match answer {
            Err(_) => {
                self.queue.push_front(chain);
                self.next_at = now + RETRY_DELAY_MS;
            }
            Ok(TableAnswer::Conflict) if chain.len() > 1 => {
                chain.remove(0);
                self.queue.push_front(chain);
            }
            Ok(_) => {}
        }
        true
    }

    /// Sends what is due and within the budget.
    pub(super) fn on_tick(&mut self, ctx: &mut Context<'_>, budget: &mut WriteBudget) {
        self.requeue_unanswered(ctx.now);
        self.alarm_dropped(ctx);
        while ctx.now >= self.next_at
            && self.in_flight.len() < IN_FLIGHT_MAX_LEN
            && !self.queue.is_empty()
        {
            if !budget.take(ctx.now, WRITE_RESERVE) {
                self.next_at = ctx.now + RETRY_DELAY_MS;
                return;
            }
            let Some(chain) = self.queue.pop_front() else {
                return;
            };
            let Some(op) = chain.first().cloned() else {
                continue;
            };
            let token = ctx.token(Part::Claim);
            self.in_flight
                .insert(token, (ctx.now + ANSWER_TIMEOUT_MS, chain));
            ctx.act(Action::Table { token, op });
        }
    }

    fn alarm_dropped(&mut self, ctx: &mut Context<'_>) {
        let dropped_count = std::mem::take(&mut self.dropped_count);
        if dropped_count > 0 {
            let message = format!(
                "{dropped_count} results or withdrawals of keys were dropped, so that their \
                 duplicates are told unknown: check the table service, raise max_writes_per_s"
            );
            let name = "claim_writes_dropped";
            ctx.log(Record::Alarm { name, message });
        }
    }

    fn requeue_unanswered(&mut self, now: Time) {
        let timed_out = self
            .in_flight
            .iter()
            .filter(|(_, (until, _))| *until <= now);
        let timed_out: Vec<CallToken> = timed_out.map(|(token, _)| *token).collect();
        for token in timed_out {
            if let Some((_, chain)) = self.in_flight.remove(&token) {
                self.queue.push_front(chain);
            }
        }
    }

    /// When there is something to do.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        let queued = (!self.queue.is_empty() && self.in_flight.len() < IN_FLIGHT_MAX_LEN)
            .then_some(self.next_at);
        let answers = self.in_flight.values().map(|(until, _)| *until);
        answers.chain(queued).min()
    }
}
