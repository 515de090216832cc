//! Errors of answer streams.

use crate::units::Tokens;
use thiserror::Error;

/// Why an attempt's answer can't be trusted: the attempt is to be ended as malformed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AssembleError {
    /// Too much came ahead of a missing piece.
    #[error("piece {missing} is missing and the pieces after it fill the buffer: retry elsewhere")]
    BufferFull {
        /// Offset of the missing piece.
        missing: Tokens,
    },
    /// A piece lies after the end that the finish marker named.
    #[error("piece at {offset} lies after the end at {end}: check the engine's version")]
    AfterEnd {
        /// Offset of the piece.
        offset: Tokens,
        /// Length of the answer.
        end: Tokens,
    },
    /// The finish marker names an end before pieces that came.
    #[error("the answer ends at {end} but piece {offset} came: check the engine's version")]
    EndTooLow {
        /// Length that the marker names.
        end: Tokens,
        /// Highest offset seen.
        offset: Tokens,
    },
}
