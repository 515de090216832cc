//! One upstream, as it registered and as it is known.

use crate::{
    ids::{FailureDomain, ServiceName, UpstreamId},
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An upstream as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Its id, new with most starts.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens. The address of an upstream that ended may be another one's later.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests that it processes at once.
    pub slots_len: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_remaining_ms: Millis,
    /// Start of the process that registered, in Unix milliseconds.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
    /// Writes of the entry since that start: a lower one is older.
    pub writes_count: u64,
}

impl UpstreamRecord {
    /// Orders the writes of one entry.
    pub const fn write_order(&self) -> (u64, u64) {
        (self.started_unix_ms, self.writes_count)
    }
}

/// An upstream as it is known here.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it registered last.
    pub record: UpstreamRecord,
    /// Until when it is cold.
    pub cold_until: Time,
    /// Its entry was missing when the store came back: it is gone if that is still so by then.
    pub missing_until: Option<Time>,
}
