//! The encoded form of a message.

use super::PeerError;
use bytes::Bytes;
use persimmon_core::{ids::Incarnation, message::PeerMessage};
use serde::{Deserialize, Serialize};

/// Largest encoded message in bytes. A configuration with 3,100 upstreams fits several times.
pub(super) const MESSAGE_MAX_BYTES: usize = 8 << 20;

/// A message with the incarnation of its sender.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Envelope {
    /// The incarnation of the sender.
    pub(super) incarnation: Incarnation,
    /// The message.
    pub(super) message: PeerMessage,
}

impl Envelope {
    pub(super) fn encode(&self) -> Result<Bytes, PeerError> {
        let encoded = postcard::to_stdvec(self).map_err(|e| PeerError::Codec(e.to_string()))?;
        if encoded.len() > MESSAGE_MAX_BYTES {
            return Err(PeerError::Codec(format!(
                "{} bytes exceed the limit of {MESSAGE_MAX_BYTES}",
                encoded.len()
            )));
        }
        Ok(encoded.into())
    }

    pub(super) fn decode(encoded: &[u8]) -> Result<Self, PeerError> {
        postcard::from_bytes(encoded).map_err(|e| PeerError::Codec(e.to_string()))
    }
}
