//! Predicts what a prompt costs on an engine: its first event, and the pauses of others.

mod engine_load;
mod prediction;

pub use engine_load::{DecodingRequest, EngineLoad, PendingPrefill};
pub use prediction::Prediction;
