//! Reasons for which an engine refuses a call.

use thiserror::Error;

/// Reason for which an engine refuses a call; the text is the reason in the answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum CallRefusal {
    #[error("fenced")]
    Fenced,
    #[error("overloaded")]
    Overloaded,
    #[error("too_long")]
    TooLong,
    #[error("model_not_loaded")]
    ModelNotLoaded,
    #[error("adapter_not_loaded")]
    AdapterNotLoaded,
    #[error("wrong_role")]
    WrongRole,
    #[error("unknown_stream")]
    UnknownStream,
    #[error("old_attempt")]
    OldAttempt,
    #[error("cannot_group")]
    CannotGroup,
    #[error("no_memory")]
    NoMemory,
    #[error("not_ready")]
    NotReady,
    #[error("source_failed")]
    SourceFailed,
}
