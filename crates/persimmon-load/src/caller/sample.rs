//! The measured result of one request.

use crate::workload;
use persimmon_core::{
    ids::WorkspaceId,
    request::{LengthClass, Outcome, RefusalCode},
};
use serde::Serialize;

/// The measured result of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// Index of its arrival in the run.
    pub number_index: u64,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// Length class of its prompt; `None` for a call of a plain service.
    pub class: Option<LengthClass>,
    /// When the request was due, from the start of the run.
    pub at_ms: f64,
    /// Delay from when the request was due until a worker thread sent it.
    pub late_ms: f64,
    /// Time from when the request was due to its first token, or to the response of a plain
    /// service.
    pub first_token_ms: Option<f64>,
    /// Time from when the request was due to the end of the call.
    pub end_ms: f64,
    /// How the call ended.
    pub end: CallResult,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallResult {
    /// The complete response arrived and every token is the expected one.
    Whole,
    /// The request was refused, or failed before the first token.
    Refused(RefusalCode, Outcome),
    /// The stream ended with an error after at least one token.
    CutOff(RefusalCode, Outcome),
    /// The content of the response differs from the expected one.
    Wrong(String),
    /// Neither a complete response nor a valid refusal arrived.
    Lost(String),
}

impl Sample {
    /// Whether the complete, correct response arrived.
    pub fn is_whole(&self) -> bool {
        self.end == CallResult::Whole
    }

    /// The idempotency key that the request carried; only calls of plain services carry one.
    pub fn idempotency_key(&self, seed: u64) -> String {
        workload::idempotency_key(seed, self.number_index)
    }
}
