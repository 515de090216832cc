//! Errors of the platform's services.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why the platform gave no answer.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum PlatformError {
    /// It refused the call before doing anything.
    #[error("the platform's store is unavailable: retry later")]
    Unavailable,
    /// The answer was lost: a write may have taken effect.
    #[error("the platform's answer was lost: read back to learn whether it took effect")]
    AnswerLost,
    /// The call was malformed.
    #[error("the platform refused the call ({reason}): check versions")]
    Refused {
        /// The platform's words.
        reason: String,
    },
}
