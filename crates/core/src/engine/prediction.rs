//! What a prompt, or a part of one, would bring about on one engine.

use crate::units::Tokens;

/// What a prompt would bring about on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time until it is read here.
    pub prefill_done_ms: f64,
    /// Time until its first event.
    pub first_event_ms: f64,
    /// Longest pause that its reading causes between events of answers that are being written.
    pub pause_ms: f64,
    /// Part of that pause which it adds.
    pub added_pause_ms: f64,
    /// Answers being written there whose pauses would be longer than their targets.
    pub delayed_requests: f64,
    /// Whether a slot is free.
    pub slot_free: bool,
    /// Memory that is missing for the whole of its answer.
    pub missing_tokens: Tokens,
}
