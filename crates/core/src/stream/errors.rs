//! Errors of answer streams.

use crate::units::Tokens;
use thiserror::Error;

/// Why an attempt's answer is invalid. The attempt must be ended as malformed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AssembleError {
    /// The buffer for chunks that wait for an earlier one is full.
    #[error("chunk {missing} is missing and the chunks after it fill the buffer: retry elsewhere")]
    BufferFull {
        /// Offset of the missing chunk.
        missing: Tokens,
    },
    /// A chunk lies after the end that the finish marker gave.
    #[error("chunk at {offset} lies after the end at {end}: check the engine's version")]
    AfterEnd {
        /// Offset of the chunk.
        offset: Tokens,
        /// Length of the answer in tokens.
        end: Tokens,
    },
    /// The finish marker gives an end before chunks that were received.
    #[error(
        "the answer ends at {end} but chunk {offset} was received: check the engine's version"
    )]
    EndTooLow {
        /// Length of the answer according to the marker.
        end: Tokens,
        /// Highest offset received.
        offset: Tokens,
    },
}
