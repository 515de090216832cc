//! The stored row of a claimed key.

use crate::{
    ids::{BodyHash, Incarnation, RequestId, VmId},
    request::StoredResult,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A claim of one key, stored as JSON in the key's row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// Random id of the claim. After a lost answer, it tells whether the row holds this claim or
    /// another one.
    pub claim: RequestId,
    /// Hash of the call, to detect another call under the same key.
    pub body_hash: BodyHash,
    /// The daemon that claimed it.
    pub vm: VmId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Epoch in which the key was claimed. The row expires a fixed number of epochs later.
    pub epoch_index: u64,
    /// State of the call under the key.
    pub state: ClaimState,
}

/// State of the call under a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The key is claimed and the call may be running.
    Claimed,
    /// The call ran and returned this result.
    Done(StoredResult),
    /// The call ran and its result exceeds the size limit for stored results.
    DoneTooLarge,
    /// The call may have run and its result was lost.
    Unknown,
    /// The claim was abandoned while it was unknown whether its insert had taken effect. The call
    /// did not run and never will.
    Withdrawn,
}

impl ClaimRecord {
    /// Encodes the record as the row's value.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Copies the claim with another state.
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Decodes a row's value. None if the value is not a valid record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
