//! Settings of a gateway: a daemon that serves callers on the platform.

use super::{
    checked::{invalid, parse_name, reachable},
    components::validated,
    object::Object,
    raw::RawLog,
    LogSettings, SettingError,
};
use persimmon_core::{
    dispatch::{DispatchSettings, RawDispatchSettings},
    ids::{FailureDomain, VmId},
};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};

/// File descriptors reserved for files, peers and the store.
const DESCRIPTORS_RESERVED_LEN: usize = 400;

/// Smallest allowed `descriptors_max_len`.
const DESCRIPTORS_MIN_LEN: usize = 600;

/// Settings of a gateway as written in the file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub struct RawGatewaySettings {
    vm: String,
    domain: String,
    listen: Object<RawGatewayListen>,
    store: SocketAddr,
    upstream_source: Option<IpAddr>,
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

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Metrics page.
    pub metrics: SocketAddr,
    /// Connections of peers.
    pub peers: SocketAddr,
}

/// Validated settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The VM that the gateway runs on.
    pub vm: VmId,
    /// The VM's failure domain.
    pub domain: FailureDomain,
    /// Addresses that the gateway listens on.
    pub listen: GatewayListenAddresses,
    /// Address of the store that the platform runs.
    pub store: SocketAddr,
    /// The VM's address that connections to upstreams come from, if it has several; none for the system's choice.
    pub upstream_source: Option<IpAddr>,
    /// Most open connections of callers: half of the descriptors that are not reserved.
    pub connections_max_len: usize,
    /// Settings of request dispatch.
    pub dispatch: DispatchSettings,
    /// Settings of the log.
    pub log: LogSettings,
}

impl TryFrom<RawGatewaySettings> for GatewaySettings {
    type Error = SettingError;

    fn try_from(raw: RawGatewaySettings) -> Result<Self, SettingError> {
        let Object(listen) = raw.listen;
        if raw.descriptors_max_len < DESCRIPTORS_MIN_LEN {
            let remedy = format!("give at least {DESCRIPTORS_MIN_LEN}");
            return Err(invalid(
                "descriptors_max_len",
                raw.descriptors_max_len,
                remedy,
            ));
        }
        Ok(Self {
            vm: parse_name("vm", raw.vm)?,
            domain: parse_name("domain", raw.domain)?,
            listen: GatewayListenAddresses {
                callers: listen.callers,
                readiness: listen.readiness,
                metrics: listen.metrics,
                peers: listen.peers,
            },
            store: reachable("store", raw.store)?,
            upstream_source: raw.upstream_source,
            connections_max_len: (raw.descriptors_max_len - DESCRIPTORS_RESERVED_LEN) / 2,
            dispatch: validated(raw.dispatch.0)?,
            log: raw.log.0.try_into()?,
        })
    }
}
