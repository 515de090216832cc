//! What daemons tell each other of the bytes of requests in flight.

use crate::{
    ids::{ServiceName, UpstreamId},
    units::ByteCount,
};
use serde::{Deserialize, Serialize};

/// The bytes of the sender's requests in flight, and what it has learned of limits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamBytesReport {
    /// Upstreams at which the sender's bytes have changed, with the bytes there now.
    pub held: Vec<(UpstreamId, ByteCount)>,
    /// Limits of one upstream of a service that the sender has learned from an upstream that terminated.
    pub limits: Vec<(ServiceName, ByteCount)>,
}
