//! A request that waits for its key.

use super::ClaimSettings;
use crate::{
    ids::{BodyHash, IdempotencyKey, RequestId},
    platform::{CallToken, TableKey},
    request::{Refusal, RefusalCode, StoredResult},
    units::Time,
};
use bytes::Bytes;

/// What became of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request may run, once.
    Run,
    /// The key's call ran before: this is its answer.
    Stored(StoredResult),
    /// Neither.
    Refused(Refusal),
}

/// What a waiting request does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// Its claim is to be inserted at this time.
    InsertAt(Time),
    /// Its claim is being inserted.
    Inserting(CallToken),
    /// The store's answer was lost or named a conflict: the row is being read.
    Reading(CallToken),
    /// The same, after a read failed: the row is read at this time.
    ReadAt(Time),
    /// The issuer of its ticket was asked.
    AskingIssuer,
    /// Another call holds the key: the row is read at this time.
    PollAt(Time),
    /// Another call holds the key: the row is being read.
    Polling(CallToken),
}

/// A request that waits for its key.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) request: RequestId,
    /// The claim's own random id.
    pub(super) claim: RequestId,
    pub(super) row: TableKey,
    pub(super) body_hash: BodyHash,
    /// The row's value that was last sent to the store.
    pub(super) value: Option<Bytes>,
    pub(super) step: Step,
    /// When this waiting ends.
    pub(super) until: Time,
    /// The withdrawn claim's value that the insert replaces, if any.
    pub(super) replaced: Option<Bytes>,
    /// Whether an insert may still take effect although no answer says so.
    pub(super) in_doubt: bool,
    /// The key, where it is a ticket.
    pub(super) ticket: Option<IdempotencyKey>,
}

impl Pending {
    /// When the next thing is to be done.
    pub(super) fn due(&self) -> Time {
        match self.step {
            Step::InsertAt(at) | Step::PollAt(at) | Step::ReadAt(at) => at.min(self.until),
            _ => self.until,
        }
    }

    /// The call of the store whose answer it waits for.
    pub(super) fn token(&self) -> Option<CallToken> {
        match self.step {
            Step::Inserting(token) | Step::Reading(token) | Step::Polling(token) => Some(token),
            _ => None,
        }
    }

    /// Whether another call holds the key.
    pub(super) const fn is_duplicate(&self) -> bool {
        matches!(self.step, Step::PollAt(_) | Step::Polling(_))
    }

    /// What its caller is told when the waiting ends.
    pub(super) fn timed_out(&self, settings: &ClaimSettings) -> Refusal {
        let refusal = match self.step {
            Step::AskingIssuer => unresolved("the ticket's issuer does not answer"),
            _ if self.is_duplicate() => unresolved("another call under this key has no result yet"),
            _ => store_unavailable(),
        };
        refusal.retry_after(settings.claim_timeout)
    }
}

/// Another call under the key may have run.
pub(super) fn unresolved(why: &str) -> Refusal {
    let text = format!("{why}: ask again with the same key, or check at the service what was done");
    Refusal::unknown(RefusalCode::KeyUnresolved, text)
}

/// The key could not be claimed.
pub(super) fn store_unavailable() -> Refusal {
    let text = "the key can't be claimed while the store is down or slow: retry, or get a ticket \
                (POST /tickets) and use it as the key";
    Refusal::not_run(RefusalCode::StoreUnavailable, text)
}

/// The key came with another call.
pub(super) fn key_reused() -> Refusal {
    let text = "this key came with another method, path or body before: use a fresh key";
    Refusal::not_run(RefusalCode::KeyReused, text)
}
