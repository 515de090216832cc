//! Load reports of upstreams.

use crate::{
    ids::{AdapterName, FencingNumber, Incarnation, ModelVersion, RequestId},
    units::{KvBytes, Millis},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An upstream's report on its load. It is `age_ms` old when it is received.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Incarnation of the process; it changes with each restart.
    pub incarnation: Incarnation,
    /// Age of the report.
    pub age_ms: Millis,
    /// Number of running and waiting requests.
    pub in_flight_requests: u32,
    /// Number of requests that it can take now, if it reports that.
    pub bearable_requests: Option<u32>,
    /// KV memory held by requests, without cached prefixes.
    pub kv_held_bytes: KvBytes,
    /// Requests that hold memory or a slot in the batch.
    pub requests: BTreeSet<RequestId>,
    /// Loaded models with their adapters.
    pub models: BTreeMap<ModelVersion, BTreeSet<AdapterName>>,
    /// Models that are being loaded.
    pub loading: BTreeSet<ModelVersion>,
    /// Highest fencing number that it has seen, if it checks fencing.
    pub fencing: Option<FencingNumber>,
}
