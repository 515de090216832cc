//! The platform's lagging list of VMs.

use crate::ids::{FailureDomain, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
}

/// One entry of the platform's list of VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where its daemon listens for peers.
    pub peer_address: SocketAddr,
    /// What the platform says of it.
    pub state: VmState,
}
