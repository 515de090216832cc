//! Decides what a response proves about the request for which it was received.
//!
//! A faulty upstream may send bytes after a complete response, at any time. They can be a whole response, or the
//! beginning of one, with which the next response then makes one head. So a response counts only if it is shown to
//! belong to the request, and a request counts as not run only if such a response says so.

use super::{AnswerOrigin, ConnectionUse, StatedRequest};
use serde::Serialize;

/// Status of an upstream that is not the one that the request is for.
const MISDIRECTED_STATUS: u16 = 421;

/// Statuses with which an upstream refuses a request that it has not run.
const REFUSAL_STATUSES: [u16; 4] = [400, MISDIRECTED_STATUS, 429, 503];

/// Statuses that promise to a caller that the request has not run and will not.
const PROMISE_STATUSES: [u16; 4] = [408, MISDIRECTED_STATUS, 429, 503];

/// What a response says.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ResponseClaims {
    /// The HTTP status.
    pub status: u16,
    /// What shows which request it belongs to.
    pub origin: AnswerOrigin,
    /// Whether it has the signature of an upstream that has worked on its request.
    pub is_signed: bool,
    /// Whether it states that its request was not run.
    pub says_not_run: bool,
    /// Whether its body is encoded, so that it is not as the upstream's handler wrote it.
    pub is_encoded: bool,
    /// Whether its head holds the status line of another response.
    pub is_joined: bool,
}

/// What a response proves.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AnswerVerdict {
    /// It is the upstream's answer to the request, which has run.
    Answer,
    /// The upstream has not run the request and will not.
    Refusal,
    /// Nothing: the request may have run, and may be running.
    Unproven(Doubt),
}

/// Why a response proves nothing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// It names another request, several, or one that can't be read.
    OtherRequest,
    /// It names no request, and its connection had carried others.
    NoRequest,
    /// Its connection had carried the same request before.
    RepeatedRequest,
    /// Its head holds the status line of another response.
    JoinedHeads,
    /// It is a success without the upstream's signature.
    NoSignature,
    /// Its body is encoded.
    Encoded,
    /// It states that the request was not run, and also that it was.
    Contradiction,
}

impl Doubt {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OtherRequest => "other_request",
            Self::NoRequest => "no_request",
            Self::RepeatedRequest => "repeated_request",
            Self::JoinedHeads => "joined_heads",
            Self::NoSignature => "no_signature",
            Self::Encoded => "encoded",
            Self::Contradiction => "contradiction",
        }
    }

    /// Whether a sound upstream sends no such response. Refusals need not name their request.
    pub const fn shows_fault(self) -> bool {
        !matches!(self, Self::NoRequest | Self::RepeatedRequest)
    }
}

impl AnswerVerdict {
    /// Decides what a response proves.
    pub fn of(claims: &ResponseClaims) -> Self {
        if let Some(doubt) = doubt_of_origin(claims) {
            return Self::Unproven(doubt);
        }
        let is_success = (200..300).contains(&claims.status);
        if is_success && !claims.is_signed {
            return Self::Unproven(Doubt::NoSignature);
        }
        if claims.is_encoded {
            return Self::Unproven(Doubt::Encoded);
        }
        let is_refusal = claims.says_not_run || claims.status == MISDIRECTED_STATUS;
        let can_refuse = REFUSAL_STATUSES.contains(&claims.status) && !claims.is_signed;
        match (is_refusal, can_refuse) {
            (true, true) => Self::Refusal,
            (true, false) => Self::Unproven(Doubt::Contradiction),
            (false, _) => Self::Answer,
        }
    }
}

/// Why a response is not shown to belong to the request; none if it is.
fn doubt_of_origin(claims: &ResponseClaims) -> Option<Doubt> {
    let AnswerOrigin { connection, stated } = claims.origin;
    match (connection, stated) {
        (_, StatedRequest::Other) => Some(Doubt::OtherRequest),
        // Additional bytes come after a response, so that the first one is what it seems to be.
        (ConnectionUse::New, _) => None,
        (ConnectionUse::Repeated, _) => Some(Doubt::RepeatedRequest),
        (ConnectionUse::Kept, StatedRequest::Unstated) => Some(Doubt::NoRequest),
        (ConnectionUse::Kept, StatedRequest::Own) => claims.is_joined.then_some(Doubt::JoinedHeads),
    }
}

/// Whether callers may take an answer with this status for a promise that the request has not run.
pub fn promises_not_run(status: u16) -> bool {
    PROMISE_STATUSES.contains(&status)
}
