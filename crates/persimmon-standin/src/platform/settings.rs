//! Settings of the platform.

use crate::{engine::LOOPBACK, errors::require, StandinError};
use persimmon_core::{
    platform::VmRecord,
    units::{BytesPerSecond, Millis},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, ops::Deref};

/// Validated settings of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings(PlatformFields);

/// Settings of the platform as they are serialised.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFields {
    /// Address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// Address of the control page; port 0 takes a free port.
    pub control_address: SocketAddr,
    /// Rate limit of writes to table and objects together.
    pub writes_per_s: f64,
    /// Rate limit of reads of table and objects together.
    pub reads_per_s: f64,
    /// Rate limit of the weight store.
    pub weights_bytes_per_s: BytesPerSecond,
    /// Time after which a change shows in the list of VMs.
    pub vms_lag_ms: Millis,
    /// Initial list of VMs.
    pub vms: Vec<VmRecord>,
}

impl Default for PlatformFields {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            control_address: LOOPBACK,
            writes_per_s: 400.0,
            reads_per_s: 2_000.0,
            weights_bytes_per_s: BytesPerSecond::try_from(4e9)
                .expect("default rates are above zero"),
            vms_lag_ms: Millis::from_secs(5),
            vms: Vec::new(),
        }
    }
}

impl TryFrom<PlatformFields> for PlatformSettings {
    type Error = StandinError;

    fn try_from(fields: PlatformFields) -> Result<Self, StandinError> {
        for (key, rate) in [
            ("writes_per_s", fields.writes_per_s),
            ("reads_per_s", fields.reads_per_s),
        ] {
            let is_valid = rate.is_finite() && rate >= 1.0;
            require(is_valid, key, rate, "give a rate of 1 or more")?;
        }
        Ok(Self(fields))
    }
}

impl Deref for PlatformSettings {
    type Target = PlatformFields;

    fn deref(&self) -> &PlatformFields {
        &self.0
    }
}
