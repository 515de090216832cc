//! Interface to the platform's services.

use persimmon_core::platform::{ObjectOp, PlatformError, TableAnswer, TableOp, VmRecord};
use std::fmt;

/// A client of the platform's services. Each call blocks, so it runs on a worker thread.
pub trait PlatformClient: fmt::Debug + Send + Sync {
    /// Calls the table service.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the call had no effect, `AnswerLost` if a write may have taken effect, and
    /// `Refused` if the service rejects the call.
    fn table(&self, op: &TableOp) -> Result<TableAnswer, PlatformError>;

    /// Calls the object store.
    ///
    /// # Errors
    ///
    /// As [`table`](Self::table).
    fn object(&self, op: &ObjectOp) -> Result<TableAnswer, PlatformError>;

    /// Lists the platform's VMs.
    ///
    /// # Errors
    ///
    /// As [`table`](Self::table).
    fn vms(&self) -> Result<Vec<VmRecord>, PlatformError>;
}
