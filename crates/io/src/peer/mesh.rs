//! QUIC connections among all daemons of a deployment, on the traffic thread.

use super::{
    connection,
    handshakes::Handshakes,
    identity::{self, Identity, ProcessKey},
    keys::SERVER_NAME,
    relay_stream::{RelayRequest, RelaySink, RelayStream},
    PeerError,
};
use bytes::Bytes;
use flume::{Receiver, Sender};
use persimmon_core::{
    dispatch::{DispatchEvent, DispatchMessage},
    fleet::UpstreamIncarnation,
    ids::VmId,
    message::Member,
    path::PathEnd,
};
use quinn::{ClientConfig, Connection, Endpoint, RecvStream, VarInt};
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout, Instant},
};

/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval at which peers that are not connected are dialled.
const DIAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which the daemon with the greater VM name waits for the other one to dial, so that a
/// pair of peers does one handshake instead of two.
const DIAL_GRACE: Duration = Duration::from_millis(1_500);

/// Time between two dials, so that the thread serves requests between handshakes.
const DIAL_GAP: Duration = Duration::from_millis(8);

/// Number of failed dials after which a peer is no longer dialled and has to connect by itself.
const DIALS_MAX_COUNT: u32 = 60;

/// Code with which links to a process are closed whose VM has started another one.
const REPLACED_CODE: VarInt = VarInt::from_u32(2);

/// Receives the events of a mesh.
pub type MeshSink = Rc<dyn Fn(DispatchEvent)>;

/// Connections to all peers.
pub struct Mesh {
    own_vm: VmId,
    endpoint: Endpoint,
    client: RefCell<ClientConfig>,
    sink: MeshSink,
    relays: RelaySink,
    peers: RefCell<BTreeMap<VmId, Peer>>,
    members_updated: Notify,
}

/// State of one peer.
#[derive(Default)]
struct Peer {
    address: Option<SocketAddr>,
    dials_count: u32,
    dialling: bool,
    disconnected_at: Option<Instant>,
    links: Vec<Link>,
}

/// A connection to a peer and the queue of messages to send on it.
struct Link {
    connection: Connection,
    /// The process at its other end.
    process: ProcessKey,
    outbox: Sender<Bytes>,
}

impl Link {
    fn is_on(&self, connection: &Connection) -> bool {
        self.connection.stable_id() == connection.stable_id()
    }
}

impl Peer {
    /// Adds a link. Removes those to other processes, which have ended: a VM runs one process at a time, and its
    /// connections are noticed to be lost only after their idle timeout. Returns whether there were any.
    fn add_link(&mut self, link: Link) -> bool {
        let links_len = self.links.len();
        self.links.retain(|known| {
            let is_same = known.process == link.process;
            if !is_same {
                known.connection.close(REPLACED_CODE, b"replaced");
            }
            is_same
        });
        let is_restart = self.links.len() < links_len;
        self.dials_count = 0;
        self.links.push(link);
        is_restart
    }
}

impl std::fmt::Debug for Mesh {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Mesh")
            .field("own_vm", &self.own_vm)
            .finish_non_exhaustive()
    }
}

impl Mesh {
    /// Listens for peers on `address`. Passes their messages and connection changes to `sink`, and the
    /// connections to upstreams that they ask for to `relays`.
    ///
    /// # Errors
    ///
    /// The address can't be used.
    pub fn start(
        own_vm: VmId,
        address: SocketAddr,
        identity: &Identity,
        sink: MeshSink,
        relays: RelaySink,
    ) -> Result<Rc<Self>, PeerError> {
        let listen = |source| PeerError::Listen { address, source };
        let endpoint = Endpoint::server(identity.server.clone(), address).map_err(listen)?;
        let mesh = Rc::new(Self {
            own_vm,
            endpoint,
            client: RefCell::new(identity.client.clone()),
            sink,
            relays,
            peers: RefCell::default(),
            members_updated: Notify::new(),
        });
        spawn_local(Rc::clone(&mesh).accept());
        spawn_local(Rc::clone(&mesh).dial());
        Ok(mesh)
    }

    /// Uses another identity for connections from now on. Open connections stay.
    pub fn set_identity(&self, identity: &Identity) {
        self.endpoint
            .set_server_config(Some(identity.server.clone()));
        self.client.replace(identity.client.clone());
    }

    /// Adds the daemons that the store lists. Those that are not connected are dialled.
    pub fn update_members(&self, members: Vec<Member>) {
        let mut peers = self.peers.borrow_mut();
        for member in members
            .into_iter()
            .filter(|member| member.vm != self.own_vm)
        {
            let peer = peers.entry(member.vm).or_default();
            peer.address = Some(member.peer_address);
            peer.disconnected_at.get_or_insert_with(Instant::now);
            peer.dials_count = 0;
        }
        drop(peers);
        self.members_updated.notify_one();
    }

    /// Sends a message to one peer, or to all that are connected if `to` is absent.
    pub fn send(&self, to: Option<&VmId>, message: &DispatchMessage) {
        let encoded = match postcard::to_stdvec(message) {
            Ok(encoded) => Bytes::from(encoded),
            Err(error) => return log::error!("peer message can't be encoded: {error}"),
        };
        let peers = self.peers.borrow();
        let addressed = peers.iter().filter(|(vm, _)| to.is_none_or(|to| to == *vm));
        for link in addressed.filter_map(|(_, peer)| peer.links.first()) {
            // An error means that the connection has just ended. The message can be dropped,
            // because the next connection starts with a snapshot of all work.
            let _ = link.outbox.send(encoded.clone());
        }
    }

    /// Asks a peer to connect to an upstream.
    ///
    /// # Errors
    ///
    /// The peer is not connected or does not pass the connection on, or it does not reach the upstream.
    pub async fn open_relay(
        &self,
        vm: &VmId,
        upstream: &UpstreamIncarnation,
    ) -> Result<RelayStream, PathEnd> {
        let connection = {
            let peers = self.peers.borrow();
            let link = peers.get(vm).and_then(|peer| peer.links.first());
            link.map(|link| link.connection.clone())
        };
        let connection = connection.ok_or(PathEnd::Unavailable)?;
        RelayStream::open(&connection, upstream).await
    }

    /// Number of connections to peers. A peer counts twice if both sides dialled.
    pub fn connections_len(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().map(|peer| peer.links.len()).sum()
    }

    async fn accept(self: Rc<Self>) {
        let handshakes = Handshakes::default();
        while let Some(incoming) = self.endpoint.accept().await {
            let Some((incoming, handshake)) = handshakes.admit(incoming) else {
                continue;
            };
            let mesh = Rc::clone(&self);
            spawn_local(async move {
                let Ok(connection) = incoming.await else {
                    return;
                };
                drop(handshake);
                match identity::peer_of(&connection) {
                    Ok(vm) => mesh.run_connection(vm, connection).await,
                    Err(error) => log::warn!("peer connection rejected: {error}"),
                }
            });
        }
    }

    async fn dial(self: Rc<Self>) {
        loop {
            for (vm, address) in self.peers_to_dial() {
                spawn_local(Rc::clone(&self).open(vm, address));
                sleep(DIAL_GAP).await;
            }
            // New members are dialled at once.
            let _ = timeout(DIAL_INTERVAL, self.members_updated.notified()).await;
        }
    }

    /// Selects the peers to dial now and marks them as being dialled.
    fn peers_to_dial(&self) -> Vec<(VmId, SocketAddr)> {
        let mut peers = self.peers.borrow_mut();
        let disconnected = peers
            .iter_mut()
            .filter(|(_, peer)| peer.links.is_empty() && !peer.dialling);
        let to_dial = disconnected.filter_map(|(vm, peer)| {
            let disconnected_for = peer
                .disconnected_at
                .map_or(Duration::ZERO, |at| at.elapsed());
            let is_own_turn = self.own_vm < *vm || disconnected_for >= DIAL_GRACE;
            let may_dial = is_own_turn && peer.dials_count < DIALS_MAX_COUNT;
            let address = peer.address.filter(|_| may_dial)?;
            peer.dials_count += 1;
            peer.dialling = true;
            Some((vm.clone(), address))
        });
        to_dial.collect()
    }

    async fn open(self: Rc<Self>, vm: VmId, address: SocketAddr) {
        let connection = self.connect(&vm, address).await;
        if let Some(peer) = self.peers.borrow_mut().get_mut(&vm) {
            peer.dialling = false;
        }
        if let Some(connection) = connection {
            self.run_connection(vm, connection).await;
        }
    }

    async fn connect(&self, vm: &VmId, address: SocketAddr) -> Option<Connection> {
        let client = self.client.borrow().clone();
        let connecting = match self.endpoint.connect_with(client, address, SERVER_NAME) {
            Ok(connecting) => connecting,
            Err(error) => {
                log::warn!(peer:% = vm; "dialling the peer failed: {error}");
                return None;
            }
        };
        let outcome = timeout(CONNECT_TIMEOUT, connecting).await;
        let failure = match outcome {
            Ok(Ok(connection)) => match identity::peer_of(&connection) {
                Ok(named) if named == *vm => return Some(connection),
                Ok(named) => {
                    format!("{address} belongs to VM {named}: the store entry is outdated")
                }
                Err(error) => error.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_) => "connecting timed out".to_owned(),
        };
        log::debug!(peer:% = vm; "connecting to the peer failed: {failure}");
        None
    }

    /// Sends and receives messages on a connection until it ends.
    async fn run_connection(self: &Rc<Self>, vm: VmId, connection: Connection) {
        let process = match identity::process_of(&connection) {
            Ok(process) => process,
            Err(error) => return log::warn!(peer:% = vm; "peer connection rejected: {error}"),
        };
        let (outbox, queue) = flume::unbounded();
        let link = Link {
            connection: connection.clone(),
            process: process.clone(),
            outbox,
        };
        let (is_first, is_restart) = {
            let mut peers = self.peers.borrow_mut();
            let peer = peers.entry(vm.clone()).or_default();
            let is_restart = peer.add_link(link);
            (peer.links.len() == 1, is_restart)
        };
        if is_restart {
            log::info!(peer:% = vm; "the peer's process has been replaced by another one");
            (self.sink)(DispatchEvent::PeerDown { vm: vm.clone() });
        }
        if is_first {
            (self.sink)(DispatchEvent::PeerUp { vm: vm.clone() });
        }
        spawn_local(write(connection.clone(), queue));
        let relays = Rc::clone(&self.relays);
        spawn_local(accept_relays(connection.clone(), vm.clone(), relays));
        while let Ok(stream) = connection.accept_uni().await {
            let mesh = Rc::clone(self);
            spawn_local(mesh.read(stream, vm.clone(), process.clone()));
        }
        self.drop_link(&vm, &connection);
    }

    /// Passes on the messages of a stream, until it ends or no link to the process is left: a message that is
    /// still buffered then would bring back what the core has forgotten of the process.
    async fn read(self: Rc<Self>, mut stream: RecvStream, vm: VmId, process: ProcessKey) {
        while let Ok(encoded) = connection::read_frame(&mut stream).await {
            if !self.is_linked(&vm, &process) {
                return;
            }
            match postcard::from_bytes(&encoded) {
                Ok(message) => (self.sink)(DispatchEvent::PeerMessage {
                    vm: vm.clone(),
                    message,
                }),
                Err(error) => log::warn!(peer:% = vm; "peer message can't be decoded: {error}"),
            }
        }
    }

    fn is_linked(&self, vm: &VmId, process: &ProcessKey) -> bool {
        let peers = self.peers.borrow();
        let peer = peers.get(vm);
        peer.is_some_and(|peer| peer.links.iter().any(|link| link.process == *process))
    }

    fn drop_link(&self, vm: &VmId, connection: &Connection) {
        let event = {
            let mut peers = self.peers.borrow_mut();
            let Some(peer) = peers.get_mut(vm) else {
                return;
            };
            let Some(index) = peer.links.iter().position(|link| link.is_on(connection)) else {
                return;
            };
            peer.links.remove(index);
            if peer.links.is_empty() {
                peer.disconnected_at = Some(Instant::now());
            }
            match (index == 0, peer.links.is_empty()) {
                (_, true) => Some(DispatchEvent::PeerDown { vm: vm.clone() }),
                (true, false) => Some(DispatchEvent::PeerUp { vm: vm.clone() }),
                (false, false) => None,
            }
        };
        if let Some(event) = event {
            (self.sink)(event);
        }
    }

    /// Closes all connections, so that peers learn at once that this daemon stops.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopped");
    }
}

async fn write(connection: Connection, queue: Receiver<Bytes>) {
    let Ok(mut stream) = connection.open_uni().await else {
        return;
    };
    while let Ok(encoded) = queue.recv_async().await {
        if let Err(error) = connection::write_frame(&mut stream, &encoded).await {
            return log::debug!("{error}");
        }
    }
}

/// Accepts the connections to upstreams that a peer asks for.
async fn accept_relays(connection: Connection, vm: VmId, relays: RelaySink) {
    while let Ok((writer, reader)) = connection.accept_bi().await {
        let (vm, relays) = (vm.clone(), Rc::clone(&relays));
        spawn_local(async move {
            match RelayRequest::read(vm, writer, reader).await {
                Ok(request) => relays(request),
                Err(error) => log::debug!("a peer's request for a connection was lost: {error}"),
            }
        });
    }
}
