//! Settings of a gateway: a daemon that serves callers on the users' platform.

use super::{
    checked::{name, reachable, refuse},
    components::checked,
    object::Object,
    raw::RawLog,
    LogSettings, SettingError,
};
use persimmon_core::{
    dispatch::{DispatchSettings, RawDispatchSettings},
    ids::{FailureDomain, VmId},
};
use serde::Deserialize;
use std::net::SocketAddr;

/// Descriptors kept for files, peers and the store.
const DESCRIPTORS_KEPT_LEN: usize = 400;

/// Fewest descriptors that a gateway runs with.
const DESCRIPTORS_MIN_LEN: usize = 600;

/// Settings of a gateway as they stand in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawGatewaySettings {
    vm: String,
    domain: String,
    listen: Object<RawGatewayListen>,
    store: SocketAddr,
    descriptors_max_len: usize,
    #[serde(default)]
    dispatch: Object<RawDispatchSettings>,
    #[serde(default)]
    log: Object<RawLog>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
struct RawGatewayListen {
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
}

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether it takes callers.
    pub readiness: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// Checked settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it listens.
    pub listen: GatewayListenAddresses,
    /// The store that the platform runs.
    pub store: SocketAddr,
    /// Most callers' connections.
    pub connections_max_len: usize,
    /// How requests are dispatched.
    pub dispatch: DispatchSettings,
    /// Logs.
    pub log: LogSettings,
}

impl TryFrom<RawGatewaySettings> for GatewaySettings {
    type Error = SettingError;

    fn try_from(raw: RawGatewaySettings) -> Result<Self, SettingError> {
        let Object(listen) = raw.listen;
        if raw.descriptors_max_len < DESCRIPTORS_MIN_LEN {
            let remedy = format!("give at least {DESCRIPTORS_MIN_LEN}");
            return Err(refuse(
                "descriptors_max_len",
                raw.descriptors_max_len,
                remedy,
            ));
        }
        Ok(Self {
            vm: name("vm", raw.vm)?,
            domain: name("domain", raw.domain)?,
            listen: GatewayListenAddresses {
                callers: listen.callers,
                readiness: listen.readiness,
                metrics: listen.metrics,
                peers: listen.peers,
            },
            store: reachable("store", raw.store)?,
            connections_max_len: (raw.descriptors_max_len - DESCRIPTORS_KEPT_LEN) / 2,
            dispatch: checked(raw.dispatch.0)?,
            log: raw.log.0.try_into()?,
        })
    }
}
