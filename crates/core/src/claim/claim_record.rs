//! The row of a claimed key.

use crate::{
    ids::{BodyHash, Incarnation, RequestId, VmId},
    request::StoredResult,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A claim of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// The claim's own random id: tells a claim from all others after a lost answer.
    pub claim: RequestId,
    /// The call, to tell another body under the same key.
    pub body_hash: BodyHash,
    /// The daemon that claimed it.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The epoch in which it was claimed, for its expiry.
    pub epoch_index: u64,
    /// How far it is.
    pub state: ClaimState,
}

/// How far the call under a key is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may run now.
    Claimed,
    /// It ran and this is its answer.
    Done(StoredResult),
    /// It ran and its answer is too large to keep.
    DoneTooLarge,
    /// It may have run: its answer was lost.
    Unknown,
    /// It was given up while its insert was in doubt: it never ran and never will.
    Withdrawn,
}

impl ClaimRecord {
    /// The row's value.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// The same claim in another state.
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// The record in a row's value, or none where it can't be read.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
