//! The link to other daemons, behind a trait, and an in-process link for tests and demos.

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

/// Sends messages to other daemons. Delivery is not guaranteed; a message that can't be delivered
/// is reported as `Event::PeerUnreachable`.
pub trait PeerLink: fmt::Debug + Send + Sync {
    /// Queues a message for a daemon and does not wait for its delivery.
    fn send(&self, to: &VmId, address: SocketAddr, message: PeerMessage);

    /// The address at which peers reach this daemon.
    fn local_address(&self) -> SocketAddr;

    /// Bytes sent and received over the open connections, or none if the link does not count them.
    fn traffic_bytes(&self) -> Option<(u64, u64)> {
        None
    }
}

/// A network of daemons in one process.
#[derive(Clone, Debug, Default)]
pub struct LocalNetwork {
    inboxes: Arc<Mutex<BTreeMap<SocketAddr, Sender<Event>>>>,
}

impl LocalNetwork {
    /// Connects a daemon. Messages to it arrive as `Event::Peer` on `inbox`.
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

/// The link of one daemon in a [`LocalNetwork`].
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
            // The send fails only if this daemon is stopping and has closed its inbox.
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
