//! The border between the control thread and the network to other daemons.

use persimmon_core::{ids::VmId, message::PeerMessage};
use std::net::SocketAddr;

/// Sends messages to other daemons. Delivery is not promised.
pub trait PeerLink: Send + Sync {
    /// Queues a message for a peer and returns at once.
    fn send(&self, to: &VmId, address: SocketAddr, message: PeerMessage);

    /// Where this daemon listens for peers.
    fn local_address(&self) -> SocketAddr;
}
