//! Work of a request, in milliseconds of an engine or of a plain upstream's slot.

use super::ShareHolder;
use crate::{
    catalog::EngineProfile,
    ids::{SendId, ServiceName},
    units::{Time, Tokens},
};
use std::collections::BTreeMap;

/// Work of a request at engines, in engine-milliseconds: prefill, the part of the decode steps that is due to
/// it, and the part of the KV memory that it holds for as long as an idle engine would take.
pub fn engine_work_ms(
    profile: &EngineProfile,
    prompt_tokens: Tokens,
    output_tokens: Tokens,
) -> f64 {
    let prefill_ms = profile.prefill_ms(prompt_tokens);
    let output_len = output_tokens.get() as f64;
    let context_tokens = prompt_tokens + Tokens::new(output_tokens.get() / 2);
    let step_part_ms = profile.step_ms / f64::from(profile.slots_len.max(1));
    let decode_ms = output_len * (step_part_ms + profile.sequence_ms(context_tokens));
    let held_tokens = (prompt_tokens + output_tokens).get() as f64;
    let memory_ratio = held_tokens / profile.kv_tokens.get().max(1) as f64;
    let memory_ms = memory_ratio * (prefill_ms + output_len * profile.step_ms);
    prefill_ms + decode_ms + memory_ms
}

/// Work of a transmission of this daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct SentWork {
    /// The service.
    pub service: ServiceName,
    /// Whose call it is.
    pub holder: ShareHolder,
    /// When it was sent.
    pub sent_at: Time,
    /// Work that was counted when it was sent; none for a plain service, whose work is known at the end.
    pub counted_ms: Option<f64>,
}

/// The transmissions of this daemon that have not ended, as many as it has in flight.
#[derive(Debug, Default)]
pub struct SentWorkTable(BTreeMap<SendId, SentWork>);

impl SentWorkTable {
    /// Adds a transmission.
    pub fn start(&mut self, send: SendId, work: SentWork) {
        self.0.insert(send, work);
    }

    /// Removes a transmission that ended.
    pub fn end(&mut self, send: SendId) -> Option<SentWork> {
        self.0.remove(&send)
    }
}
