//! Promises as daemons report them to each other.

use crate::{
    ids::{Fingerprint, ServiceName},
    units::Millis,
};
use serde::{Deserialize, Serialize};

/// Most entries of each list in one message. The others follow in the next.
pub const REPORT_MAX_LEN: usize = 256;

/// A promise as a daemon reports it to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromiseReport {
    /// The request as a whole, by the workspace of its caller.
    pub fingerprint: Fingerprint,
    /// The service.
    pub service: ServiceName,
    /// Priority of the call; 0 goes first.
    pub priority: u8,
    /// Whether a slot is kept for the caller. Otherwise the time only answers repeats before it.
    pub keeps_slot: bool,
    /// Time until the caller may return.
    pub due_ms: Millis,
}

/// What a daemon tells its peers about promises.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromiseReports {
    /// Promises that it gave.
    pub promised: Vec<PromiseReport>,
    /// Promises whose callers have got their slots.
    pub ended: Vec<Fingerprint>,
}

impl PromiseReports {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.promised.is_empty() && self.ended.is_empty()
    }
}
