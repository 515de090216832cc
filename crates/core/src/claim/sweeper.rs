//! Expiry of claims: epochs counted in the store, and removal of rows of old epochs.
//!
//! Daemons share no clock. A row counts epochs: whoever has seen it unchanged for the length of
//! an epoch, by its own monotonic clock, moves it on by one and removes what is too old.

use super::{
    row_keys::{CLAIMS_PREFIX, EPOCH_ROW},
    writer::{compare_and_swap, Writer},
    ClaimRecord, ClaimSettings,
};
use crate::{
    action::Action,
    context::Context,
    platform::{CallToken, Part, PlatformError, TableAnswer, TableKey, TableOp},
    units::{Millis, Time},
};
use bytes::Bytes;
use rand::Rng;

/// Rows of one page of a scan.
const PAGE_LEN: u32 = 50;
/// Removals that may wait before the next page is read.
const PENDING_REMOVALS_MAX_LEN: usize = 50;
/// Time until a call without an answer is given up.
const ANSWER_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Pause after a failure of the store, and between pages.
const RETRY_DELAY_MS: Millis = Millis::new(1_000);

/// What a call of the store was for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Advance,
    Scan,
}

/// The epoch as last read.
#[derive(Clone, Copy, Debug)]
struct Epoch {
    /// Zero where the row is absent.
    index: u64,
    first_seen: Time,
    last_read: Time,
}

/// Counts epochs and removes rows of old ones.
#[derive(Debug)]
pub(super) struct Sweeper {
    settings: ClaimSettings,
    epoch: Option<Epoch>,
    call: Option<(CallToken, Call, Time)>,
    read_at: Time,
    /// Waits on top of an epoch before it is moved on, so that not all try at once.
    jitter: Millis,
    /// The scan under way: where it goes on.
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

    /// The epoch, if it was read within the last one.
    pub(super) fn epoch(&self, now: Time) -> Option<u64> {
        let epoch = self.epoch?;
        (now.since(epoch.last_read) < self.settings.epoch).then_some(epoch.index)
    }

    /// The epoch as last read, however long ago.
    pub(super) fn last_index(&self) -> u64 {
        self.epoch.map_or(0, |epoch| epoch.index)
    }

    /// Reads the epoch as soon as may be.
    pub(super) fn request_epoch_read(&mut self, now: Time) {
        if self.epoch(now).is_none() {
            self.read_at = self.read_at.min(now);
        }
    }

    /// Takes an answer. False where the call is not its own.
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

    /// The epoch just changed: it is to be read before it is used.
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

    /// Does what is due.
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
        // A reading taken after the due time proves that nobody else moved it on.
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
        let token = ctx.token(Part::Claim);
        self.call = Some((token, call, ctx.now + ANSWER_TIMEOUT_MS));
        ctx.act(Action::Table { token, op });
    }

    /// When there is something to do.
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
