//! Load reports, which lag.

use crate::{
    ids::{AdapterName, FencingNumber, Incarnation, ModelVersion, RequestId},
    units::{KvBytes, Millis},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What an upstream says of itself, some time ago.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The process: a restart has another one.
    pub incarnation: Incarnation,
    /// Age of the figures.
    pub age_ms: Millis,
    /// Requests that run or wait.
    pub in_flight_requests: u32,
    /// Requests it can bear now, if it says so.
    pub bearable_requests: Option<u32>,
    /// KV memory held by requests (cached prefixes left out).
    pub kv_held_bytes: KvBytes,
    /// Requests that hold memory or a place in the batch.
    pub requests: BTreeSet<RequestId>,
    /// Models that are loaded, with their adapters.
    pub models: BTreeMap<ModelVersion, BTreeSet<AdapterName>>,
    /// Models that are being loaded.
    pub loading: BTreeSet<ModelVersion>,
    /// Highest fencing number seen, if it keeps one.
    pub fencing: Option<FencingNumber>,
}
