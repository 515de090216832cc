//! Services that routes send calls to.

use super::EngineProfile;
use crate::{ids::ServiceName, units::Millis};
use serde::{Deserialize, Serialize};

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of connections that one upstream accepts from all daemons together.
    pub connections_max_len: u32,
    /// Time after its start during which an upstream is cold.
    pub cold_start_ms: Millis,
    /// Requests per second that a cold upstream can take; 0 if being cold makes no difference.
    pub cold_per_s: f64,
    /// Performance model of its upstreams, if they are model engines.
    pub engine: Option<EngineProfile>,
}
