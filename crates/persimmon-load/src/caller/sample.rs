//! What came of one request.

use crate::workload;
use persimmon_core::{
    ids::WorkspaceId,
    request::{LengthClass, Outcome, RefusalCode},
};
use serde::Serialize;

/// What came of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// The number of its arrival.
    pub number_index: u64,
    /// Whose it was.
    pub workspace: WorkspaceId,
    /// Class of its prompt; `None` for a call of a plain service.
    pub class: Option<LengthClass>,
    /// When it was due, from the start of the run.
    pub at_ms: f64,
    /// How late it was sent.
    pub late_ms: f64,
    /// From when it was due to its first token, or to the answer of a plain service.
    pub first_token_ms: Option<f64>,
    /// From when it was due to its end.
    pub end_ms: f64,
    /// How it ended.
    pub end: CallResult,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// With the whole answer: each token is the one that the formula gives.
    Whole,
    /// With a refusal before any token.
    Refused(RefusalCode, Outcome),
    /// With an error after tokens.
    CutOff(RefusalCode, Outcome),
    /// With an answer whose content is not its own.
    Wrong(String),
    /// With neither an answer nor a refusal.
    Lost(String),
}

impl Sample {
    /// Whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        self.end == CallResult::Whole
    }

    /// The idempotency key of its call, where it was one of a plain service.
    pub fn idempotency_key(&self, seed: u64) -> String {
        workload::idempotency_key(seed, self.number_index)
    }
}
