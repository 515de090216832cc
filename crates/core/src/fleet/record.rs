//! An upstream's registration, and its state on this daemon.

use crate::{
    ids::{FailureDomain, ServiceName, UpstreamId},
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Most requests that an upstream can process concurrently: each comes on a connection of its own, and there are no
/// more ports to connect from.
const SLOTS_MAX_LEN: u32 = 1 << 16;

/// Latest start of a process, in milliseconds since the Unix epoch: the end of the year 9999.
const STARTED_MAX_UNIX_MS: u64 = 253_402_300_799_999;

/// Most writes of an entry: the highest count that is exact in JSON.
const WRITES_MAX_COUNT: u64 = 1 << 53;

/// Why a registration can't be that of an upstream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The port is 0.
    #[error("port 0 can't be connected to: register the port that the upstream listens on")]
    Port,
    /// There are too many slots.
    #[error("{slots_len} slots are more than {SLOTS_MAX_LEN}: register the upstream's own limit")]
    Slots {
        /// Requests that it claims to process concurrently.
        slots_len: u32,
    },
    /// The start of the process is no time, so later entries would count as older.
    #[error(
        "the start at {started_unix_ms} ms is no time: register milliseconds since the Unix epoch"
    )]
    Started {
        /// The start that it claims.
        started_unix_ms: u64,
    },
    /// The number of writes can't have been reached, so later entries would count as older.
    #[error("{writes_count} writes can't have been made: count from 1 at each start")]
    Writes {
        /// The writes that it claims.
        writes_count: u64,
    },
}

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

    /// Checks the numbers of a registration, which anyone may have written.
    ///
    /// # Errors
    ///
    /// Names the number that no upstream can have.
    pub const fn check(&self) -> Result<(), RecordError> {
        let Self {
            address,
            slots_len,
            started_unix_ms,
            writes_count,
            ..
        } = *self;
        if address.port() == 0 {
            return Err(RecordError::Port);
        }
        if slots_len > SLOTS_MAX_LEN {
            return Err(RecordError::Slots { slots_len });
        }
        if started_unix_ms > STARTED_MAX_UNIX_MS {
            return Err(RecordError::Started { started_unix_ms });
        }
        if writes_count > WRITES_MAX_COUNT {
            return Err(RecordError::Writes { writes_count });
        }
        Ok(())
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
