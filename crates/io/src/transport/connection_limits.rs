//! Which pooled connections a request may use.

use persimmon_core::units::Millis;

/// Longest idle time of a pooled connection whose server states none.
pub(super) const IDLE_MAX_MS: Millis = Millis::from_secs(4);

/// What a connection carries. The two kinds share no connections: calls of this daemon don't name themselves, so that
/// nothing tells a late response to one of them from the next response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// Callers' requests, each of whose responses had the id of its request.
    Requests,
    /// Calls of this daemon itself, whose responses have no ids.
    Calls,
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// What the connections carry.
    pub traffic: Traffic,
    /// Longest idle time of a pooled connection that is reused.
    pub idle_max_ms: Millis,
    /// Most open connections to the address.
    pub connections_max_len: u32,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            traffic: Traffic::Calls,
            idle_max_ms: IDLE_MAX_MS,
            connections_max_len: u32::MAX,
        }
    }
}
