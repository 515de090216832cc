//! A daemon's settings as written in the file.

use super::object::Object;
use persimmon_core::{
    config::RawConfigSettings, entry::RawEntrySettings, grant::RawGrantSettings,
    membership::RawMembershipSettings, ownership::RawOwnershipSettings,
    placement::RawPlacementSettings, plan::RawPlanSettings, routing::RawRoutingSettings,
};
use serde::Deserialize;
use std::{net::SocketAddr, path::PathBuf};

/// A daemon's settings as written in the file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawSettings {
    pub(super) vm: String,
    pub(super) domain: String,
    pub(super) listen: Object<RawListen>,
    #[serde(default)]
    pub(super) seeds: Vec<Object<RawSeed>>,
    pub(super) platform: SocketAddr,
    pub(super) tls: Object<RawTls>,
    pub(super) operator_token: String,
    #[serde(default)]
    pub(super) limits: Object<RawLimits>,
    #[serde(default)]
    pub(super) log: Object<RawLog>,
    #[serde(default)]
    pub(super) config: Object<RawConfigSettings>,
    #[serde(default)]
    pub(super) entry: Object<RawEntrySettings>,
    #[serde(default)]
    pub(super) grant: Object<RawGrantSettings>,
    #[serde(default)]
    pub(super) membership: Object<RawMembershipSettings>,
    #[serde(default)]
    pub(super) ownership: Object<RawOwnershipSettings>,
    #[serde(default)]
    pub(super) placement: Object<RawPlacementSettings>,
    #[serde(default)]
    pub(super) plan: Object<RawPlanSettings>,
    #[serde(default)]
    pub(super) routing: Object<RawRoutingSettings>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub(super) struct RawListen {
    pub(super) callers: SocketAddr,
    pub(super) operators: SocketAddr,
    pub(super) peers: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub(super) struct RawSeed {
    pub(super) vm: String,
    pub(super) domain: String,
    pub(super) peer_address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub(super) struct RawTls {
    pub(super) ca_file: PathBuf,
    pub(super) cert_file: PathBuf,
    pub(super) key_file: PathBuf,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub(super) struct RawLimits {
    pub(super) body_max_bytes: Option<u64>,
    pub(super) bodies_max_bytes: Option<u64>,
    pub(super) head_max_bytes: Option<u64>,
    pub(super) open_max_requests: Option<u64>,
    pub(super) io_time_ms: Option<u64>,
    pub(super) body_time_ms: Option<u64>,
    pub(super) default_timeout_ms: Option<u64>,
    pub(super) max_timeout_ms: Option<u64>,
    pub(super) default_output_tokens: Option<u64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub(super) struct RawLog {
    pub(super) format: Option<String>,
    pub(super) level: Option<String>,
}
