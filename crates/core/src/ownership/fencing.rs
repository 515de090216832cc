//! Fencing numbers: an epoch that rises with every take-over, and the daemon's run below it.

use super::OwnershipSettings;
use crate::{
    ids::{FailureDomain, FencingNumber},
    message::Member,
    platform::{CallToken, Condition, Part, PlatformError, TableAnswer, TableOp, Write},
    units::Time,
    Action, Context,
};
use bytes::Bytes;
use std::{collections::BTreeSet, ops::RangeInclusive};
use xxhash_rust::xxh3::xxh3_64;

/// Bits of a fencing number below its epoch: they differ by daemon and run.
const RUN_BITS: u32 = 32;

/// What is awaited from the store.
#[derive(Debug, PartialEq)]
enum Step {
    Read,
    Reserve { epoch: u64 },
}

/// The source of epochs: a high-water mark in the store, or what was seen where the store is down.
#[derive(Debug)]
pub(super) struct Fencing {
    key: String,
    run_index: u64,
    seen_epoch_index: u64,
    /// Epochs that the store reserved for this daemon alone.
    reserved: RangeInclusive<u64>,
    awaited: Option<(CallToken, Step, Time)>,
    /// The epoch to use now, and whether the row was absent before.
    ready: Option<(u64, bool)>,
    first_ever: bool,
}

impl Fencing {
    /// Numbers for the upstreams of `domain`, used by `me`.
    pub(super) fn new(domain: &FailureDomain, me: &Member) -> Self {
        Self {
            key: format!("fencing/{domain}"),
            run_index: run_hash(me, 0),
            seen_epoch_index: 0,
            reserved: RangeInclusive::new(1, 0),
            awaited: None,
            ready: None,
            first_ever: false,
        }
    }

    /// Notes a number used by anyone.
    pub(super) fn see(&mut self, number: FencingNumber) {
        self.seen_epoch_index = self.seen_epoch_index.max(number.get() >> RUN_BITS);
    }

    /// Keeps this daemon's part of a number apart from those of all members known.
    pub(super) fn keep_apart(&mut self, me: &Member, members: &[Member]) {
        let mut taken = BTreeSet::new();
        for member in members {
            let salt = (0..).find(|salt| !taken.contains(&run_hash(member, *salt)));
            let run_index = run_hash(member, salt.unwrap_or(0));
            taken.insert(run_index);
            if member == me {
                self.run_index = run_index;
            }
        }
    }

    /// Asks the store for a fresh epoch, unless it was asked already or one is at hand.
    pub(super) fn ask(&mut self, ctx: &mut Context<'_>) {
        let next = self.seen_epoch_index + 1;
        if self.awaited.is_none() && self.reserved.contains(&next) {
            self.ready = Some((next, false));
        }
        if self.awaited.is_none() && self.ready.is_none() {
            let op = TableOp::Get {
                key: self.key.clone(),
            };
            self.call(ctx, Step::Read, op);
        }
    }

    /// A fresh number, once there is one. True beside it: no number was ever given before.
    pub(super) fn take(
        &mut self,
        ctx: &Context<'_>,
        settings: &OwnershipSettings,
    ) -> Option<(FencingNumber, bool)> {
        if let Some((_, _, since)) = self.awaited {
            if since + settings.store_wait() <= ctx.now {
                self.awaited = None;
                self.ready = Some((self.seen_epoch_index + 1, false));
            }
        }
        let (epoch, first) = self.ready.take()?;
        let epoch = epoch.max(self.seen_epoch_index + 1);
        self.seen_epoch_index = epoch;
        let number = FencingNumber::new((epoch << RUN_BITS) | self.run_index);
        Some((number, first))
    }

    /// When the store's answer is waited for no longer.
    pub(super) fn gives_up(&self, settings: &OwnershipSettings) -> Option<Time> {
        let awaited = self.awaited.as_ref();
        awaited.map(|(_, _, since)| *since + settings.store_wait())
    }

    /// The store answered.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        settings: &OwnershipSettings,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        let Some((_, step, since)) = self.awaited.take_if(|(asked, _, _)| *asked == token) else {
            return;
        };
        match (step, answer) {
            (Step::Read, Ok(TableAnswer::Value(value))) => self.reserve(ctx, settings, value),
            (Step::Reserve { epoch }, Ok(TableAnswer::Done)) => {
                self.seen_epoch_index = self.seen_epoch_index.max(epoch - 1);
                self.reserved = epoch..=epoch + settings.block() - 1;
                self.ready = Some((epoch, self.first_ever));
            }
            (Step::Reserve { .. }, Ok(TableAnswer::Conflict) | Err(PlatformError::AnswerLost)) => {
                self.ask(ctx);
            }
            (step, _) => self.awaited = Some((CallToken::default(), step, since)),
        }
    }

    fn reserve(
        &mut self,
        ctx: &mut Context<'_>,
        settings: &OwnershipSettings,
        value: Option<Bytes>,
    ) {
        self.first_ever = value.is_none() && self.seen_epoch_index == 0;
        let text = value
            .as_deref()
            .and_then(|raw| std::str::from_utf8(raw).ok());
        let mark = text.and_then(|text| text.parse().ok()).unwrap_or(0);
        let epoch = self.seen_epoch_index.max(mark) + 1;
        let key = self.key.clone();
        let condition = match value {
            Some(value) => Condition::Equals { key, value },
            None => Condition::Absent { key },
        };
        let write = Write::Put {
            key: self.key.clone(),
            value: (epoch + settings.block() - 1).to_string().into(),
        };
        let op = TableOp::Transact {
            conditions: vec![condition],
            writes: vec![write],
        };
        self.call(ctx, Step::Reserve { epoch }, op);
    }

    fn call(&mut self, ctx: &mut Context<'_>, step: Step, op: TableOp) {
        let token = ctx.token(Part::Ownership);
        self.awaited = Some((token, step, ctx.now));
        ctx.act(Action::Table { token, op });
    }
}

fn run_hash(member: &Member, salt: u32) -> u64 {
    let run = format!("{}\n{}\n{salt}", member.vm, member.incarnation);
    xxh3_64(run.as_bytes()) & ((1 << RUN_BITS) - 1)
}
