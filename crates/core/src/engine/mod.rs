//! Predicts the effect of a further prompt on an engine: its time to the first event, and the
//! pauses that its prefill causes in other answers.

mod engine_load;
pub mod gaps;
mod prediction;

pub use engine_load::{DecodingRequest, EngineLoad, PendingPrefill};
pub use prediction::Prediction;
