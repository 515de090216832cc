//! The load of an engine at the time at which a refused caller may return.

use crate::{
    catalog::EngineProfile,
    engine::EngineLoad,
    units::{Millis, Tokens},
};

/// The load of an engine after a time, if its slots are filled again and one of them is free.
pub fn load_after(mut load: EngineLoad, profile: &EngineProfile, after_ms: Millis) -> EngineLoad {
    let mut spent_ms = after_ms.get() as f64;
    for prefill in &mut load.prefills {
        let done_ms = prefill.remaining_ms.min(spent_ms);
        spent_ms -= done_ms;
        let left_ratio = 1.0 - done_ms / prefill.remaining_ms.max(1.0);
        prefill.remaining_ms -= done_ms;
        let left_tokens = prefill.remaining_tokens.get() as f64 * left_ratio;
        prefill.remaining_tokens = Tokens::new(left_tokens as u64);
    }
    if load.requests_len() >= profile.slots_len as usize {
        let decoding = load.decoding.iter().enumerate();
        let oldest = decoding.max_by(|(_, a), (_, b)| a.decoding_ms.total_cmp(&b.decoding_ms));
        if let Some(index) = oldest.map(|(index, _)| index) {
            load.decoding.swap_remove(index);
        }
    }
    load
}
