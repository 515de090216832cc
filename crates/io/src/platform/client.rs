//! The border to the platform.

use persimmon_core::platform::{ObjectOp, PlatformError, TableAnswer, TableOp, VmRecord};
use std::fmt;

/// Calls the platform's services. Each call blocks and is made on a worker thread.
pub trait PlatformClient: fmt::Debug + Send + Sync {
    /// Calls the table service.
    ///
    /// # Errors
    ///
    /// `Unavailable` where nothing was done, `AnswerLost` where a write may have taken effect.
    fn table(&self, op: &TableOp) -> Result<TableAnswer, PlatformError>;

    /// Calls the object store.
    ///
    /// # Errors
    ///
    /// As `table`.
    fn object(&self, op: &ObjectOp) -> Result<TableAnswer, PlatformError>;

    /// Lists the VMs.
    ///
    /// # Errors
    ///
    /// As `table`.
    fn vms(&self) -> Result<Vec<VmRecord>, PlatformError>;
}
