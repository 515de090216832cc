//! An upstream's registration, and its state on this daemon.

use crate::{
    ids::{FailureDomain, ServiceName, UpstreamId},
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An upstream's registration, as it wrote it to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Its id. Most restarts use a new one.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens. The address can be reused by another upstream after this one ended.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests that it processes concurrently.
    pub slots_len: u32,
    /// Whether it is about to stop, and takes no new work.
    pub draining: bool,
    /// Remaining time for which it is cold.
    pub cold_remaining_ms: Millis,
    /// Start of the registering process, in milliseconds since the Unix epoch.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
    /// Number of times that the process wrote the entry; a lower count is an older write.
    pub writes_count: u64,
}

/// One incarnation of an upstream: an upstream may start again under the id that it had.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UpstreamIncarnation {
    /// The upstream.
    pub id: UpstreamId,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

impl UpstreamRecord {
    /// The incarnation that wrote the record.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            id: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Sort key that orders the writes of one entry.
    pub const fn write_order(&self) -> (u64, u64) {
        (self.started_unix_ms, self.writes_count)
    }
}

/// An upstream as known to this daemon.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its last registration.
    pub record: UpstreamRecord,
    /// Time until which it is cold.
    pub cold_until: Time,
    /// Set if its entry was missing after an outage of the store: it is removed at this time,
    /// unless it registers again before.
    pub missing_until: Option<Time>,
}
