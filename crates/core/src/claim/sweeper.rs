//! Expiry of claims: an epoch counter in the store, and removal of rows of expired epochs.
//!
//! Daemons share no clock, so a row in the store holds an epoch counter. A daemon that has seen the
//! counter unchanged for the length of an epoch, by its own monotonic clock, increments it and then
//! removes the rows that have expired.

use super::{
    row_keys::{CLAIMS_PREFIX, EPOCH_ROW},
    writer::{compare_and_swap, Writer},
    ClaimRecord, ClaimSettings,
};
use crate::{
    action::Action,
    context::Context,
    platform::{CallToken, Component, PlatformError, TableAnswer, TableKey, TableOp},
    units::{Millis, Time},
};
use bytes::Bytes;
use rand::Rng;

/// Page size of a scan, in rows.
const PAGE_LEN: u32 = 50;
/// Number of queued writes from which on no further page is read.
const PENDING_REMOVALS_MAX_LEN: usize = 50;
/// Time-out of a store call.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Delay after a failed store call, and between two pages of a scan.
const RETRY_DELAY_MS: Millis = Millis::new(1_000);

/// Purpose of a store call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Advance,
    Scan,
}

/// The epoch counter as last read.
#[derive(Clone, Copy, Debug)]
struct Epoch {
    /// Zero if the row is absent.
    index: u64,
    first_seen: Time,
    last_read: Time,
}

/// Increments the epoch counter and removes the rows of expired epochs.
#[derive(Debug)]
pub(super) struct Sweeper {
    settings: ClaimSettings,
    epoch: Option<Epoch>,
    call: Option<(CallToken, Call, Time)>,
    read_at: Time,
    /// Random delay added to the epoch length before the increment, so that daemons do not all
    /// write at once.
    jitter: Millis,
    /// The scan in progress, if any, with the key after which it continues.
    scan: Option<Option<TableKey>>,
    scan_at: Time,
}

impl Sweeper {
    pub(super) const fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            epoch: None,
            call: None,
            read_at: Time::START,
            jitter: Millis::ZERO,
            scan: None,
            scan_at: Time::START,
        }
    }

    /// The current epoch, if it was read within the last epoch length.
    pub(super) fn epoch(&self, now: Time) -> Option<u64> {
        let epoch = self.epoch?;
        (now.since(epoch.last_read) < self.settings.epoch).then_some(epoch.index)
    }

    /// The epoch as last read, regardless of age; zero if none was read.
    pub(super) fn last_index(&self) -> u64 {
        self.epoch.map_or(0, |epoch| epoch.index)
    }

    /// Schedules a read of the epoch for now if the last read is too old.
    pub(super) fn request_epoch_read(&mut self, now: Time) {
        if self.epoch(now).is_none() {
            self.read_at = self.read_at.min(now);
        }
    }

    /// Handles a store answer. Returns false if the call belongs to another component.
    pub(super) fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        writer: &mut Writer,
        token: CallToken,
        answer: &Result<TableAnswer, PlatformError>,
    ) -> bool {
        let Some((_, call, _)) = self.call.filter(|(sent, _, _)| *sent == token) else {
            return false;
        };
        self.call = None;
        match (call, answer) {
            (Call::Read, Ok(TableAnswer::Value(value))) => self.on_read(ctx, value.as_ref()),
            (Call::Advance, Ok(TableAnswer::Done)) => {
                self.invalidate_epoch(ctx.now);
                self.scan = Some(None);
            }
            (Call::Advance, Ok(TableAnswer::Conflict)) => self.invalidate_epoch(ctx.now),
            (Call::Scan, Ok(TableAnswer::Rows(rows))) => self.on_rows(ctx, writer, rows),
            _ => self.back_off(ctx.now),
        }
        true
    }

    /// Invalidates the last read after the counter changed, so that the epoch is read again before
    /// it is used.
    fn invalidate_epoch(&mut self, now: Time) {
        self.read_at = now;
        self.epoch = None;
    }

    fn back_off(&mut self, now: Time) {
        self.read_at = self.read_at.max(now + RETRY_DELAY_MS);
        self.scan_at = now + RETRY_DELAY_MS;
    }

    fn on_read(&mut self, ctx: &mut Context<'_>, value: Option<&Bytes>) {
        let text = value.map(|value| std::str::from_utf8(value));
        let index = match text {
            None => Some(0),
            Some(text) => text.ok().and_then(|text| text.parse().ok()),
        };
        let Some(index) = index else {
            return self.back_off(ctx.now);
        };
        let same = self.epoch.filter(|epoch| epoch.index == index);
        if same.is_none() {
            let quarter = (self.settings.epoch.get() / 4).max(1);
            self.jitter = Millis::new(ctx.rng.next_u64() % quarter);
        }
        self.epoch = Some(Epoch {
            index,
            first_seen: same.map_or(ctx.now, |epoch| epoch.first_seen),
            last_read: ctx.now,
        });
        self.read_at = ctx.now + Millis::new(self.settings.epoch.get() / 4);
    }

    fn on_rows(&mut self, ctx: &Context<'_>, writer: &mut Writer, rows: &[(TableKey, Bytes)]) {
        let now_index = self.last_index();
        for (key, value) in rows {
            let record = ClaimRecord::decode(value);
            let kept = u64::from(self.settings.kept_epochs_count);
            if record.is_some_and(|record| record.epoch_index + kept < now_index) {
                writer.add(vec![compare_and_swap(key, Some(value.clone()), None)]);
            }
        }
        let last = rows.last().map(|(key, _)| key.clone());
        self.scan = last.filter(|_| rows.len() >= PAGE_LEN as usize).map(Some);
        self.scan_at = ctx.now + RETRY_DELAY_MS;
    }

    /// Sends the next store call that is due. At most one call is in flight.
    pub(super) fn on_tick(&mut self, ctx: &mut Context<'_>, writer: &Writer) {
        if self.call.is_some_and(|(_, _, until)| until <= ctx.now) {
            self.call = None;
            self.back_off(ctx.now);
        }
        if self.call.is_some() {
            return;
        }
        if self.advance_at().is_some_and(|at| at <= ctx.now) {
            self.advance(ctx);
        } else if self.read_at <= ctx.now {
            let key = EPOCH_ROW.into();
            self.send(ctx, Call::Read, TableOp::Get { key });
        } else if self.scan_at <= ctx.now && writer.waiting_len() < PENDING_REMOVALS_MAX_LEN {
            self.scan_next(ctx);
        } else {
            self.scan_at = self.scan_at.max(ctx.now + RETRY_DELAY_MS);
        }
    }

    fn advance_at(&self) -> Option<Time> {
        let epoch = self.epoch?;
        let due = epoch.first_seen + self.settings.epoch + self.jitter;
        // A read after the due time proves that no other daemon has incremented the counter.
        (epoch.last_read >= due).then_some(due.max(self.scan_at))
    }

    fn advance(&mut self, ctx: &mut Context<'_>) {
        let index = self.last_index();
        let old = (index > 0).then(|| Bytes::from(index.to_string()));
        let new = Bytes::from((index + 1).to_string());
        let op = compare_and_swap(&EPOCH_ROW.to_owned(), old, Some(new));
        self.send(ctx, Call::Advance, op);
    }

    fn scan_next(&mut self, ctx: &mut Context<'_>) {
        let Some(after) = self.scan.clone() else {
            return;
        };
        let op = TableOp::Scan {
            prefix: CLAIMS_PREFIX.into(),
            after,
            limit_len: PAGE_LEN,
        };
        self.send(ctx, Call::Scan, op);
    }

    fn send(&mut self, ctx: &mut Context<'_>, call: Call, op: TableOp) {
        let token = ctx.token(Component::Claim);
        self.call = Some((token, call, ctx.now + ANSWER_TIMEOUT_MS));
        ctx.act(Action::Table { token, op });
    }

    /// When [`Self::on_tick`] must be called next.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        if let Some((_, _, until)) = self.call {
            return Some(until);
        }
        let scan = self.scan.as_ref().map(|_| self.scan_at);
        scan.into_iter()
            .chain(self.advance_at())
            .chain(Some(self.read_at))
            .min()
    }
}
