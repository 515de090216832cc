//! Answers put in order: pieces keyed by attempt and token offset.

mod assembler;
mod errors;

pub use assembler::{Assembler, PushOutcome};
pub use errors::AssembleError;
