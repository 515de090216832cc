//! What the core asks of the platform's services.

mod errors;
mod table;
mod vm;

pub use errors::PlatformError;
pub use table::{CallToken, Component, Condition, ObjectOp, TableAnswer, TableKey, TableOp, Write};
pub use vm::{VmRecord, VmState};
