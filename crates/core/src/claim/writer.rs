//! Writes that may wait: results, withdrawn claims and removals.

use super::write_budget::WriteBudget;
use crate::{
    action::Action,
    context::Context,
    platform::{CallToken, Condition, Part, PlatformError, TableAnswer, TableKey, TableOp, Write},
    units::{Millis, Time},
};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Most writes that wait.
const QUEUE_MAX_LEN: usize = 4096;
/// Most writes under way at a time.
const SENT_MAX_LEN: usize = 16;
/// Time until a write without an answer is sent again.
const ANSWER_MS: Millis = Millis::new(5_000);
/// Pause after a failure of the store.
const PAUSE_MS: Millis = Millis::new(500);
/// Writes that are left over for fresh claims.
const RESERVE: u32 = 2;

/// The queue of writes that may wait. Each is idempotent and guarded by a condition.
#[derive(Debug)]
pub(super) struct Writer {
    queue: VecDeque<TableOp>,
    sent: BTreeMap<CallToken, (Time, TableOp)>,
    next_at: Time,
}

/// Replaces a row that has `old` (or is absent) by `new` (or removes it).
pub(super) fn replace(key: &TableKey, old: Option<Bytes>, new: Option<Bytes>) -> TableOp {
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
            sent: BTreeMap::new(),
            next_at: Time::START,
        }
    }

    /// Adds a write. False where the queue is full and the write is dropped.
    pub(super) fn add(&mut self, op: TableOp) -> bool {
        let fits = self.queue.len() < QUEUE_MAX_LEN;
        if fits {
            self.queue.push_back(op);
        }
        fits
    }

    /// Writes that wait.
    pub(super) fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Takes the answer of one of its writes. False where the call is not its own.
    pub(super) fn on_platform(
        &mut self,
        now: Time,
        token: CallToken,
        answer: &Result<TableAnswer, PlatformError>,
    ) -> bool {
        let Some((_, op)) = self.sent.remove(&token) else {
            return false;
        };
        if answer.is_err() {
            self.queue.push_front(op);
            self.next_at = now + PAUSE_MS;
        }
        true
    }

    /// Sends what is due and within the budget.
    pub(super) fn on_tick(&mut self, ctx: &mut Context<'_>, budget: &mut WriteBudget) {
        self.requeue_unanswered(ctx.now);
        while ctx.now >= self.next_at && self.sent.len() < SENT_MAX_LEN && !self.queue.is_empty() {
            if !budget.take(ctx.now, RESERVE) {
                self.next_at = ctx.now + PAUSE_MS;
                return;
            }
            let Some(op) = self.queue.pop_front() else {
                return;
            };
            let token = ctx.token(Part::Claim);
            self.sent.insert(token, (ctx.now + ANSWER_MS, op.clone()));
            ctx.act(Action::Table { token, op });
        }
    }

    fn requeue_unanswered(&mut self, now: Time) {
        let late = self.sent.iter().filter(|(_, (until, _))| *until <= now);
        let late: Vec<CallToken> = late.map(|(token, _)| *token).collect();
        for token in late {
            if let Some((_, op)) = self.sent.remove(&token) {
                self.queue.push_front(op);
            }
        }
    }

    /// When there is something to do.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        let queued =
            (!self.queue.is_empty() && self.sent.len() < SENT_MAX_LEN).then_some(self.next_at);
        let answers = self.sent.values().map(|(until, _)| *until);
        answers.chain(queued).min()
    }
}
