//! A claim that is not decided yet.

use super::ClaimSettings;
use crate::{
    ids::{BodyHash, IdempotencyKey, RequestId},
    platform::{CallToken, TableKey},
    request::{Refusal, RefusalCode, StoredResult},
    units::Time,
};
use bytes::Bytes;

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The key is claimed and the request may run once.
    Run,
    /// The call under the key ran before and returned this result.
    Stored(StoredResult),
    /// The key could not be claimed, or the result of its call is unknown.
    Refused(Refusal),
}

/// Current step of a pending claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimStep {
    /// The claim's row is to be inserted at this time.
    InsertAt(Time),
    /// The claim's row is being inserted.
    Inserting(CallToken),
    /// The insert conflicted or its answer was lost: the row is being read.
    Reading(CallToken),
    /// That read failed: the row is to be read again at this time.
    ReadAt(Time),
    /// The issuer of the ticket was asked and has not answered yet.
    AskingIssuer,
    /// Another call holds the key: the row is to be read at this time.
    PollAt(Time),
    /// Another call holds the key: the row is being read.
    Polling(CallToken),
}

/// A claim that is not decided yet.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub(super) request: RequestId,
    /// Random id of the claim.
    pub(super) claim: RequestId,
    pub(super) row: TableKey,
    pub(super) body_hash: BodyHash,
    /// Value of the row in the inserts of this claim; none until the first insert.
    pub(super) value: Option<Bytes>,
    pub(super) step: ClaimStep,
    /// When the claim times out.
    pub(super) deadline: Time,
    /// Value of the withdrawn claim that the insert replaces, if any.
    pub(super) replaced: Option<Bytes>,
    /// Whether an insert may have taken effect, or may still do so, because its answer was lost.
    pub(super) in_doubt: bool,
    /// The key, if it is a ticket.
    pub(super) ticket: Option<IdempotencyKey>,
}

impl PendingClaim {
    /// When the next step or the time-out is due.
    pub(super) fn due(&self) -> Time {
        match self.step {
            ClaimStep::InsertAt(at) | ClaimStep::PollAt(at) | ClaimStep::ReadAt(at) => {
                at.min(self.deadline)
            }
            _ => self.deadline,
        }
    }

    /// The store call whose answer is awaited.
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

    /// The refusal that the caller gets when the claim times out.
    pub(super) fn timeout_refusal(&self, settings: &ClaimSettings) -> Refusal {
        let refusal = match self.step {
            ClaimStep::AskingIssuer => unresolved("the ticket's issuer does not answer"),
            _ if self.is_duplicate() => unresolved("another call under this key has no result yet"),
            _ => store_unavailable(),
        };
        refusal.retry_after(settings.claim_timeout)
    }
}

/// Refusal for a key whose call may have run.
pub(super) fn unresolved(why: &str) -> Refusal {
    let text = format!("{why}: ask again with the same key, or check at the service what was done");
    Refusal::unknown(RefusalCode::KeyUnresolved, text)
}

/// Refusal for a key that could not be claimed because the store did not answer.
pub(super) fn store_unavailable() -> Refusal {
    let text = "the key can't be claimed while the store is down or slow: retry, or get a ticket \
                (POST /tickets) and use it as the key";
    Refusal::not_run(RefusalCode::StoreUnavailable, text)
}

/// Refusal for a key that was used with another call before.
pub(super) fn key_reused() -> Refusal {
    let text = "this key came with another method, path or body before: use a fresh key";
    Refusal::not_run(RefusalCode::KeyReused, text)
}
