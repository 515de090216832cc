//! The border to the other daemons, and an in-process link for tests and demos.

use flume::Sender;
use persimmon_core::{
    ids::{Incarnation, VmId},
    message::{Member, PeerMessage},
    Event,
};
use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

/// Carries messages to other daemons. Delivery is not promised; what can't be delivered comes back
/// as `Event::PeerUnreachable`.
pub trait PeerLink: fmt::Debug + Send + Sync {
    /// Sends a message without waiting for its delivery.
    fn send(&self, to: &VmId, address: SocketAddr, message: PeerMessage);

    /// The address that peers reach this daemon at.
    fn local_address(&self) -> SocketAddr;

    /// Bytes sent and received over the open connections, where the link counts them.
    fn traffic_bytes(&self) -> Option<(u64, u64)> {
        None
    }
}

/// Joins the daemons of one process.
#[derive(Clone, Debug, Default)]
pub struct LocalNetwork {
    inboxes: Arc<Mutex<BTreeMap<SocketAddr, Sender<Event>>>>,
}

impl LocalNetwork {
    /// Joins a daemon, whose messages from others arrive as `Event::Peer` on `inbox`.
    pub fn join(&self, member: &Member, inbox: Sender<Event>) -> LocalLink {
        self.lock().insert(member.peer_address, inbox.clone());
        LocalLink {
            network: self.clone(),
            vm: member.vm.clone(),
            incarnation: member.incarnation,
            address: member.peer_address,
            inbox,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Sender<Event>>> {
        self.inboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One daemon's end of a [`LocalNetwork`].
#[derive(Debug)]
pub struct LocalLink {
    network: LocalNetwork,
    vm: VmId,
    incarnation: Incarnation,
    address: SocketAddr,
    inbox: Sender<Event>,
}

impl PeerLink for LocalLink {
    fn send(&self, to: &VmId, address: SocketAddr, message: PeerMessage) {
        let event = Event::Peer {
            from: self.vm.clone(),
            incarnation: self.incarnation,
            message,
        };
        let target = self.network.lock().get(&address).cloned();
        let sent = target.is_some_and(|inbox| inbox.send(event).is_ok());
        if !sent {
            // A closed inbox of our own means that this daemon stops: nobody is left to tell.
            let _ = self.inbox.send(Event::PeerUnreachable { vm: to.clone() });
        }
    }

    fn local_address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for LocalLink {
    fn drop(&mut self) {
        self.network.lock().remove(&self.address);
    }
}
