//! Reassembly of answer streams from chunks that are identified by attempt and token offset.

mod assembler;
mod errors;

pub use assembler::{Assembler, PushOutcome};
pub use errors::AssembleError;
