//! What shows which request a response belongs to.

use serde::Serialize;

/// What a connection had carried when a request was written on it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionUse {
    /// Nothing. The first response belongs to the request.
    #[default]
    New,
    /// Other requests and their responses.
    Kept,
    /// Among others, an earlier transmission of the same request.
    Repeated,
}

impl ConnectionUse {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
            Self::Repeated => "repeated",
        }
    }
}

/// Which request a response states that it belongs to.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatedRequest {
    /// None.
    #[default]
    Unstated,
    /// The one that was sent.
    Own,
    /// Another one, several, or one that can't be read.
    Other,
}

impl StatedRequest {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unstated => "unstated",
            Self::Own => "own",
            Self::Other => "other",
        }
    }
}

/// What shows which request a response belongs to.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize)]
pub struct AnswerOrigin {
    /// What the connection had carried.
    pub connection: ConnectionUse,
    /// Which request the response names.
    pub stated: StatedRequest,
}
