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
pub enum ClaimOutcome {
    /// The request may run, once.
    Run,
    /// The key's call ran before: this is its answer.
    Stored(StoredResult),
    /// Neither.
    Refused(Refusal),
}

/// What a waiting request does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimStep {
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
pub(super) struct PendingClaim {
    pub(super) request: RequestId,
    /// The claim's own random id.
    pub(super) claim: RequestId,
    pub(super) row: TableKey,
    pub(super) body_hash: BodyHash,
    /// The row's value that was last sent to the store.
    pub(super) value: Option<Bytes>,
    pub(super) step: ClaimStep,
    /// When this waiting ends.
    pub(super) deadline: Time,
    /// The withdrawn claim's value that the insert replaces, if any.
    pub(super) replaced: Option<Bytes>,
    /// Whether an insert may still take effect although no answer says so.
    pub(super) in_doubt: bool,
    /// The key, where it is a ticket.
    pub(super) ticket: Option<IdempotencyKey>,
}

impl PendingClaim {
    /// When the next thing is to be done.
    pub(super) fn due(&self) -> Time {
        match self.step {
            ClaimStep::InsertAt(at) | ClaimStep::PollAt(at) | ClaimStep::ReadAt(at) => {
                at.min(self.deadline)
            }
            _ => self.deadline,
        }
    }

    /// The call of the store whose answer it waits for.
    pub(super) fn token(&self) -> Option<CallToken> {
        match self.step {
            ClaimStep::Inserting(token) | ClaimStep::Reading(token) | ClaimStep::Polling(token) => {
                Some(token)
            }
            _ => None,
        }
    }

    /// Whether another call holds the key.
    pub(super) const fn is_duplicate(&self) -> bool {
        matches!(self.step, ClaimStep::PollAt(_) | ClaimStep::Polling(_))
    }

    /// What its caller is told when the waiting ends.
    pub(super) fn timeout_refusal(&self, settings: &ClaimSettings) -> Refusal {
        let refusal = match self.step {
            ClaimStep::AskingIssuer => unresolved("the ticket's issuer does not answer"),
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
