//! Queue of deferrable writes: results, withdrawn claims and removals.

use super::write_budget::WriteBudget;
use crate::{
    action::Action,
    context::Context,
    decision::Record,
    platform::{
        CallToken, Component, Condition, PlatformError, TableAnswer, TableKey, TableOp, Write,
    },
    units::{Millis, Time},
};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of queued writes.
const QUEUE_MAX_LEN: usize = 4096;
/// Maximum number of writes in flight.
const IN_FLIGHT_MAX_LEN: usize = 16;
/// Time-out after which an unanswered write is sent again.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Delay after a failed write or an exhausted write budget.
const RETRY_DELAY_MS: Millis = Millis::new(500);
/// Writes of the budget that are reserved for new claims.
const WRITE_RESERVE: u32 = 2;

/// Conditional writes tried in order: each one is sent only if the condition of the one before did
/// not hold.
type FallbackChain = Vec<TableOp>;

/// Queue of deferrable writes. Each write is idempotent and conditional, so it can be repeated.
#[derive(Debug)]
pub(super) struct Writer {
    queue: VecDeque<FallbackChain>,
    in_flight: BTreeMap<CallToken, (Time, FallbackChain)>,
    next_at: Time,
    /// Number of chains dropped from a full queue since the last alarm.
    dropped_count: u64,
}

/// Builds a conditional write that sets a row to `new` if its value is `old`. None stands for an
/// absent row on both sides.
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

    /// Queues a chain of writes. If the queue is full, the chain is dropped and an alarm is logged.
    pub(super) fn add(&mut self, chain: FallbackChain) {
        if self.queue.len() < QUEUE_MAX_LEN {
            self.queue.push_back(chain);
        } else {
            self.dropped_count += 1;
        }
    }

    /// Number of queued writes.
    pub(super) fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Whether any write is queued or in flight.
    pub(super) fn has_pending_writes(&self) -> bool {
        !self.queue.is_empty() || !self.in_flight.is_empty()
    }

    /// Handles the answer to a write. Returns false if the call belongs to another component.
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

    /// Sends queued writes within the budget, and queues timed-out writes again.
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
            let token = ctx.token(Component::Claim);
            self.in_flight
                .insert(token, (ctx.now + ANSWER_TIMEOUT_MS, chain));
            ctx.act(Action::Table { token, op });
        }
    }

    fn alarm_dropped(&mut self, ctx: &mut Context<'_>) {
        let dropped_count = std::mem::take(&mut self.dropped_count);
        if dropped_count > 0 {
            let message = format!(
                "{dropped_count} writes of results or withdrawn claims were dropped from a full queue, so \
                 duplicate calls get outcome unknown: check the table service, or raise \
                 max_writes_per_s"
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

    /// When [`Self::on_tick`] must be called next.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        let queued = (!self.queue.is_empty() && self.in_flight.len() < IN_FLIGHT_MAX_LEN)
            .then_some(self.next_at);
        let answers = self.in_flight.values().map(|(until, _)| *until);
        answers.chain(queued).min()
    }
}
