//! Source of fencing numbers. A number consists of an epoch, which increases with every takeover,
//! in the high bits and a hash of the daemon's run in the low bits.

use super::OwnershipSettings;
use crate::{
    ids::{FailureDomain, FencingNumber},
    message::Member,
    platform::{CallToken, Component, Condition, PlatformError, TableAnswer, TableOp, Write},
    units::Time,
    Action, Context,
};
use bytes::Bytes;
use std::{collections::BTreeSet, ops::RangeInclusive};
use xxhash_rust::xxh3::xxh3_64;

/// Number of low bits of a fencing number that identify the daemon and its run.
const RUN_BITS: u32 = 32;

/// The kind of a pending call to the store.
#[derive(Debug, PartialEq)]
enum StoreCall {
    Read,
    Reserve { epoch: u64 },
}

/// Source of the fencing numbers of one failure domain. Epochs come from a high-water mark in the
/// store or, while the store does not answer, from the highest epoch seen.
#[derive(Debug)]
pub(super) struct FencingSource {
    /// Key of the row that holds the high-water mark.
    key: String,
    run_index: u64,
    max_seen_epoch_index: u64,
    /// Epochs that this daemon reserved in the store for its exclusive use.
    reserved_epochs: RangeInclusive<u64>,
    pending_call: Option<(CallToken, StoreCall, Time)>,
    /// The epoch of the next number, and whether it is the first epoch ever used.
    next_epoch: Option<(u64, bool)>,
    /// Whether the row was absent and no epoch was seen when the current block was requested.
    first_ever: bool,
}

impl FencingSource {
    /// Creates a source of numbers for the upstreams of `domain`, issued by `me`.
    pub(super) fn new(domain: &FailureDomain, me: &Member) -> Self {
        Self {
            key: format!("fencing/{domain}"),
            run_index: run_hash(me, 0),
            max_seen_epoch_index: 0,
            reserved_epochs: RangeInclusive::new(1, 0),
            pending_call: None,
            next_epoch: None,
            first_ever: false,
        }
    }

    /// Records a number used by any daemon; later numbers get a higher epoch.
    pub(super) fn observe(&mut self, number: FencingNumber) {
        self.max_seen_epoch_index = self.max_seen_epoch_index.max(number.get() >> RUN_BITS);
    }

    /// Chooses the run bits of this daemon so that they differ from those of all `members`.
    pub(super) fn avoid_collisions(&mut self, me: &Member, members: &[Member]) {
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

    /// Requests a new epoch from the store, unless a call is pending or an epoch is already
    /// available.
    pub(super) fn request_epoch(&mut self, ctx: &mut Context<'_>) {
        let next = self.max_seen_epoch_index + 1;
        if self.pending_call.is_none() && self.reserved_epochs.contains(&next) {
            self.next_epoch = Some((next, false));
        }
        if self.pending_call.is_none() && self.next_epoch.is_none() {
            let op = TableOp::Get {
                key: self.key.clone(),
            };
            self.call_table(ctx, StoreCall::Read, op);
        }
    }

    /// Returns a new number once an epoch is available, and whether the number is the first one
    /// ever issued. After the store timeout the epoch follows the highest one seen.
    pub(super) fn take(
        &mut self,
        ctx: &Context<'_>,
        settings: &OwnershipSettings,
    ) -> Option<(FencingNumber, bool)> {
        if let Some((_, _, since)) = self.pending_call {
            if since + settings.store_timeout() <= ctx.now {
                self.pending_call = None;
                self.next_epoch = Some((self.max_seen_epoch_index + 1, false));
            }
        }
        let (epoch, first) = self.next_epoch.take()?;
        let epoch = epoch.max(self.max_seen_epoch_index + 1);
        self.max_seen_epoch_index = epoch;
        let number = FencingNumber::new((epoch << RUN_BITS) | self.run_index);
        Some((number, first))
    }

    /// Returns the time at which the pending call to the store times out.
    pub(super) fn store_deadline(&self, settings: &OwnershipSettings) -> Option<Time> {
        let pending_call = self.pending_call.as_ref();
        pending_call.map(|(_, _, since)| *since + settings.store_timeout())
    }

    /// Handles the answer to a call to the store. After an error other than a conflict or a lost
    /// answer the call stays pending until it times out.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        settings: &OwnershipSettings,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        let Some((_, call, since)) = self.pending_call.take_if(|(asked, _, _)| *asked == token)
        else {
            return;
        };
        match (call, answer) {
            (StoreCall::Read, Ok(TableAnswer::Value(value))) => {
                self.reserve_epochs(ctx, settings, value)
            }
            (StoreCall::Reserve { epoch }, Ok(TableAnswer::Done)) => {
                self.max_seen_epoch_index = self.max_seen_epoch_index.max(epoch - 1);
                self.reserved_epochs = epoch..=epoch + settings.fencing_block_len() - 1;
                self.next_epoch = Some((epoch, self.first_ever));
            }
            (
                StoreCall::Reserve { .. },
                Ok(TableAnswer::Conflict) | Err(PlatformError::AnswerLost),
            ) => {
                self.request_epoch(ctx);
            }
            (call, _) => self.pending_call = Some((CallToken::default(), call, since)),
        }
    }

    fn reserve_epochs(
        &mut self,
        ctx: &mut Context<'_>,
        settings: &OwnershipSettings,
        value: Option<Bytes>,
    ) {
        self.first_ever = value.is_none() && self.max_seen_epoch_index == 0;
        let text = value
            .as_deref()
            .and_then(|raw| std::str::from_utf8(raw).ok());
        let stored_epoch = text.and_then(|text| text.parse().ok()).unwrap_or(0);
        let epoch = self.max_seen_epoch_index.max(stored_epoch) + 1;
        let key = self.key.clone();
        let condition = match value {
            Some(value) => Condition::Equals { key, value },
            None => Condition::Absent { key },
        };
        let write = Write::Put {
            key: self.key.clone(),
            value: (epoch + settings.fencing_block_len() - 1)
                .to_string()
                .into(),
        };
        let op = TableOp::Transact {
            conditions: vec![condition],
            writes: vec![write],
        };
        self.call_table(ctx, StoreCall::Reserve { epoch }, op);
    }

    fn call_table(&mut self, ctx: &mut Context<'_>, call: StoreCall, op: TableOp) {
        let token = ctx.token(Component::Ownership);
        self.pending_call = Some((token, call, ctx.now));
        ctx.act(Action::Table { token, op });
    }
}

fn run_hash(member: &Member, salt: u32) -> u64 {
    let run = format!("{}\n{}\n{salt}", member.vm, member.incarnation);
    xxh3_64(run.as_bytes()) & ((1 << RUN_BITS) - 1)
}
