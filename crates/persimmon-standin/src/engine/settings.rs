//! Settings of an engine.

use crate::{errors::require, StandinError};
use persimmon_core::{
    ids::{AdapterName, ModelVersion},
    units::{KvBytes, Millis, TokensPerSecond},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Deref,
};

/// Validated settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings(EngineFields);

/// Settings of an engine as they are serialised.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFields {
    /// Address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// Address of the control page; port 0 takes a free port.
    pub control_address: SocketAddr,
    /// Size of the KV memory.
    pub kv_bytes: KvBytes,
    /// KV memory of one token.
    pub kv_bytes_per_token: KvBytes,
    /// Prefill rate of all streams together while warm.
    pub prefill_tokens_per_s: TokensPerSecond,
    /// Decode rate of each stream while warm.
    pub decode_tokens_per_s: TokensPerSecond,
    /// Rate at which KV is imported.
    pub import_tokens_per_s: TokensPerSecond,
    /// Maximum number of concurrent streams.
    pub max_in_flight_requests: u32,
    /// Whether orders and requests with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Whether KV can be exported and imported.
    pub can_group: bool,
    /// Models that are loaded at the start, with their adapters.
    pub models: BTreeMap<ModelVersion, BTreeSet<AdapterName>>,
    /// Whether the engine starts cold.
    pub starts_cold: bool,
    /// Initial capacity of a cold engine, in streams.
    pub cold_bearable_requests: u32,
    /// Fraction of the rates that a cold engine reaches.
    pub cold_rate_ratio: f64,
    /// Number of completed answers that raise a cold engine's capacity by one stream.
    pub warm_step_requests: u32,
    /// Time above its capacity after which a cold engine crashes.
    pub overload_bear_ms: Millis,
    /// Time for which the engine is down after a crash.
    pub fall_over_ms: Millis,
    /// Whether load reports contain the capacity.
    pub reports_bearable: bool,
    /// Age of the load report.
    pub load_lag_ms: Millis,
    /// Delay after which cache events are published.
    pub cache_lag_ms: Millis,
    /// Every n-th cache event is never published; 0 publishes all.
    pub cache_gap_every_count: u64,
    /// Time for which a stream without a reader is kept.
    pub keep_stream_ms: Millis,
    /// Address of the weight store from which models are loaded.
    pub weights_address: Option<SocketAddr>,
}

/// A free port on the loopback interface.
pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn rate(tokens_per_s: f64) -> TokensPerSecond {
    TokensPerSecond::try_from(tokens_per_s).expect("default rates are above zero")
}

impl Default for EngineFields {
    fn default() -> Self {
        let kv_bytes_per_token = KvBytes::new(128 << 10);
        Self {
            address: LOOPBACK,
            control_address: LOOPBACK,
            kv_bytes: KvBytes::new(400_000 * kv_bytes_per_token.get()),
            kv_bytes_per_token,
            prefill_tokens_per_s: rate(120_000.0),
            decode_tokens_per_s: rate(40.0),
            import_tokens_per_s: rate(1_000_000.0),
            max_in_flight_requests: 32,
            checks_fencing: true,
            can_group: true,
            models: BTreeMap::new(),
            starts_cold: false,
            cold_bearable_requests: 4,
            cold_rate_ratio: 0.5,
            warm_step_requests: 2,
            overload_bear_ms: Millis::from_secs(1),
            fall_over_ms: Millis::new(2_000),
            reports_bearable: true,
            load_lag_ms: Millis::new(500),
            cache_lag_ms: Millis::new(300),
            cache_gap_every_count: 50,
            keep_stream_ms: Millis::from_secs(60),
            weights_address: None,
        }
    }
}

impl TryFrom<EngineFields> for EngineSettings {
    type Error = StandinError;

    fn try_from(fields: EngineFields) -> Result<Self, StandinError> {
        let token = fields.kv_bytes_per_token;
        require(
            token > KvBytes::ZERO,
            "kv_bytes_per_token",
            token,
            "give 1 or more",
        )?;
        require(
            fields.kv_bytes >= token,
            "kv_bytes",
            fields.kv_bytes,
            "give room for one token at least",
        )?;
        let max = fields.max_in_flight_requests;
        require(
            (1..=4096).contains(&max),
            "max_in_flight_requests",
            max,
            "give 1 to 4096",
        )?;
        let cold_capacity = fields.cold_bearable_requests;
        require(
            (1..=max).contains(&cold_capacity),
            "cold_bearable_requests",
            cold_capacity,
            "give 1 to max_in_flight_requests",
        )?;
        let ratio = fields.cold_rate_ratio;
        require(
            ratio > 0.0 && ratio <= 1.0,
            "cold_rate_ratio",
            ratio,
            "give a share above 0, at most 1",
        )?;
        let step = fields.warm_step_requests;
        require(step >= 1, "warm_step_requests", step, "give 1 or more")?;
        Ok(Self(fields))
    }
}

impl Deref for EngineSettings {
    type Target = EngineFields;

    fn deref(&self) -> &EngineFields {
        &self.0
    }
}
