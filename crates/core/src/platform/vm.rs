//! The platform's list of VMs. It can lag behind the actual state.

use crate::ids::{FailureDomain, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
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
    /// Its state.
    pub state: VmState,
}
