//! Settings of a plain service.

use crate::{engine::LOOPBACK, errors::require, StandinError};
use persimmon_core::units::Millis;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, ops::Deref};

/// Validated settings of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings(ServiceFields);

/// Settings of a plain service as they are serialised.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFields {
    /// Address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// Address of the control page; port 0 takes a free port.
    pub control_address: SocketAddr,
    /// Duration of one execution.
    pub work_ms: Millis,
    /// Maximum number of concurrent calls; further calls are refused and do not run.
    pub max_in_flight_requests: u32,
    /// Age of the load report.
    pub load_lag_ms: Millis,
}

impl Default for ServiceFields {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            control_address: LOOPBACK,
            work_ms: Millis::new(5),
            max_in_flight_requests: 64,
            load_lag_ms: Millis::new(500),
        }
    }
}

impl TryFrom<ServiceFields> for ServiceSettings {
    type Error = StandinError;

    fn try_from(fields: ServiceFields) -> Result<Self, StandinError> {
        let max = fields.max_in_flight_requests;
        require(
            (1..=4096).contains(&max),
            "max_in_flight_requests",
            max,
            "give 1 to 4096",
        )?;
        Ok(Self(fields))
    }
}

impl Deref for ServiceSettings {
    type Target = ServiceFields;

    fn deref(&self) -> &ServiceFields {
        &self.0
    }
}
