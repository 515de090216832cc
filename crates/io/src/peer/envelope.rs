//! The coded form of a message.

use super::PeerError;
use bytes::Bytes;
use persimmon_core::{ids::Incarnation, message::PeerMessage};
use serde::{Deserialize, Serialize};

/// Largest coded message in bytes: a configuration of 3,100 upstreams fits several times.
pub(super) const MESSAGE_MAX_BYTES: usize = 8 << 20;

/// A message with the sender's run.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Envelope {
    /// The sender's run.
    pub(super) incarnation: Incarnation,
    /// The message.
    pub(super) message: PeerMessage,
}

impl Envelope {
    pub(super) fn encode(&self) -> Result<Bytes, PeerError> {
        let coded = postcard::to_stdvec(self).map_err(|e| PeerError::Codec(e.to_string()))?;
        if coded.len() > MESSAGE_MAX_BYTES {
            return Err(PeerError::Codec(format!(
                "{} bytes are too many",
                coded.len()
            )));
        }
        Ok(coded.into())
    }

    pub(super) fn decode(coded: &[u8]) -> Result<Self, PeerError> {
        postcard::from_bytes(coded).map_err(|e| PeerError::Codec(e.to_string()))
    }
}
