//! Predicted effect of a prompt, or of a part of one, on an engine.

use crate::units::Tokens;

/// Predicted effect of a prompt on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time until its prefill is complete on this engine.
    pub prefill_done_ms: f64,
    /// Time until its first event.
    pub first_event_ms: f64,
    /// Longest pause between events of decoding requests while the prompt is prefilled.
    pub pause_ms: f64,
    /// The share of that pause that this prompt adds.
    pub added_pause_ms: f64,
    /// Weight of the decoding requests whose pauses would newly exceed their targets.
    pub delayed_requests: f64,
    /// Whether the engine has a free request slot.
    pub slot_free: bool,
    /// KV memory, in tokens, that the engine lacks for the prompt and its whole answer.
    pub missing_tokens: Tokens,
    /// Longest gap of its own response; zero if gaps are not predicted.
    pub own_gap_ms: f64,
}
