//! Calls from the core to the platform: the table service, the object store and the list of VMs.

mod errors;
mod table;
mod vm;

pub use errors::PlatformError;
pub use table::{CallToken, Component, Condition, ObjectOp, TableAnswer, TableKey, TableOp, Write};
pub use vm::{VmRecord, VmState};
