//! A model engine: continuous batching, KV memory, prefix cache, streams and orders.

mod batch;
mod cache_log;
mod completion;
mod counters;
mod engine_handle;
mod errors;
mod memory;
mod orders;
mod segment;
mod serve;
mod settings;
mod stream;
mod token;

pub use counters::EngineCounters;
pub use engine_handle::{Engine, EngineHandle};
pub use settings::{EngineFields, EngineSettings};
pub use token::TokenSource;

pub(crate) use settings::LOOPBACK;
