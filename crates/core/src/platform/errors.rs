//! Errors of calls to the platform.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum PlatformError {
    /// The store refused the call without any effect.
    #[error("the platform's store is unavailable: retry later")]
    Unavailable,
    /// The answer was lost. A write may have taken effect.
    #[error("the platform's answer was lost: read back to learn whether it took effect")]
    AnswerLost,
    /// The platform rejected the call as invalid.
    #[error("the platform refused the call ({reason}): check versions")]
    Refused {
        /// Message from the platform.
        reason: String,
    },
}
