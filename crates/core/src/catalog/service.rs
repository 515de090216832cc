//! Services that routes lead to.

use super::EngineProfile;
use crate::{ids::ServiceName, units::Millis};

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Most connections that one upstream takes from all callers together.
    pub connections_max_len: u32,
    /// How long an upstream stays cold after its start.
    pub cold_start_ms: Millis,
    /// Requests a second that a cold upstream bears; zero where it makes no difference.
    pub cold_per_s: f64,
    /// How its upstreams process prompts, where they are model engines.
    pub engine: Option<EngineProfile>,
}
