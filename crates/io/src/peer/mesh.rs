//! Connections among all daemons of a system, on the traffic thread.

use super::{
    connection,
    identity::{self, Identity},
    keys::SERVER_NAME,
    PeerError,
};
use bytes::Bytes;
use flume::{Receiver, Sender};
use persimmon_core::{
    dispatch::{DispatchEvent, DispatchMessage},
    ids::VmId,
    message::Member,
};
use quinn::{Connection, Endpoint, RecvStream};
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout, Instant},
};

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two looks for peers that are not connected.
const DIAL_PAUSE: Duration = Duration::from_millis(1_000);

/// Time for which the second of two peers by name leaves it to the first one to dial: a handshake for
/// each pair, not two.
const DIAL_GRACE: Duration = Duration::from_millis(1_500);

/// Time between two dials: requests are served between handshakes.
const DIAL_GAP: Duration = Duration::from_millis(8);

/// Tries after which a peer that can't be reached is left to connect by itself.
const DIALS_MAX_COUNT: u32 = 60;

/// Where events go.
pub type MeshSink = Rc<dyn Fn(DispatchEvent)>;

/// Connections to all peers.
pub struct Mesh {
    me: VmId,
    endpoint: Endpoint,
    sink: MeshSink,
    peers: RefCell<BTreeMap<VmId, Peer>>,
    known: Notify,
}

/// What is known of one peer.
#[derive(Default)]
struct Peer {
    address: Option<SocketAddr>,
    dials_count: u32,
    dialling: bool,
    lost_at: Option<Instant>,
    links: Vec<Link>,
}

/// A connection to a peer, and what waits to be sent on it.
struct Link {
    connection: Connection,
    outbox: Sender<Bytes>,
}

impl std::fmt::Debug for Mesh {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Mesh")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl Mesh {
    /// Listens for peers and hands what they tell to `sink`.
    ///
    /// # Errors
    ///
    /// The address can't be used.
    pub fn start(
        me: VmId,
        address: SocketAddr,
        identity: &Identity,
        sink: MeshSink,
    ) -> Result<Rc<Self>, PeerError> {
        let listen = |source| PeerError::Listen { address, source };
        let mut endpoint = Endpoint::server(identity.server.clone(), address).map_err(listen)?;
        endpoint.set_default_client_config(identity.client.clone());
        let mesh = Rc::new(Self {
            me,
            endpoint,
            sink,
            peers: RefCell::default(),
            known: Notify::new(),
        });
        spawn_local(Rc::clone(&mesh).accept());
        spawn_local(Rc::clone(&mesh).dial());
        Ok(mesh)
    }

    /// Peers that the store names. Those that aren't connected are dialled.
    pub fn update_members(&self, members: Vec<Member>) {
        let mut peers = self.peers.borrow_mut();
        for member in members.into_iter().filter(|member| member.vm != self.me) {
            let peer = peers.entry(member.vm).or_default();
            peer.address = Some(member.peer_address);
            peer.lost_at.get_or_insert_with(Instant::now);
            peer.dials_count = 0;
        }
        drop(peers);
        self.known.notify_one();
    }

    /// Tells one peer, or all that are connected.
    pub fn send(&self, to: Option<&VmId>, note: &DispatchMessage) {
        let coded = match postcard::to_stdvec(note) {
            Ok(coded) => Bytes::from(coded),
            Err(error) => return log::error!("a note can't be coded: {error}"),
        };
        let peers = self.peers.borrow();
        let named = peers.iter().filter(|(vm, _)| to.is_none_or(|to| to == *vm));
        for link in named.filter_map(|(_, peer)| peer.links.first()) {
            // The connection has just ended: the next one begins with all work.
            let _ = link.outbox.send(coded.clone());
        }
    }

    /// Connections to peers, two where both of a pair dialled.
    pub fn connections_len(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().map(|peer| peer.links.len()).sum()
    }

    async fn accept(self: Rc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let mesh = Rc::clone(&self);
            spawn_local(async move {
                let Ok(connection) = incoming.await else {
                    return;
                };
                match identity::peer_of(&connection) {
                    Ok(vm) => mesh.keep(vm, connection).await,
                    Err(error) => log::warn!("peer refused: {error}"),
                }
            });
        }
    }

    async fn dial(self: Rc<Self>) {
        loop {
            for (vm, address) in self.lost() {
                spawn_local(Rc::clone(&self).open(vm, address));
                sleep(DIAL_GAP).await;
            }
            // Peers that were just named are dialled at once.
            let _ = timeout(DIAL_PAUSE, self.known.notified()).await;
        }
    }

    /// Peers to dial now.
    fn lost(&self) -> Vec<(VmId, SocketAddr)> {
        let mut peers = self.peers.borrow_mut();
        let lost = peers
            .iter_mut()
            .filter(|(_, peer)| peer.links.is_empty() && !peer.dialling);
        let lost = lost.filter_map(|(vm, peer)| {
            let lost_for = peer.lost_at.map_or(Duration::ZERO, |at| at.elapsed());
            let is_turn = self.me < *vm || lost_for >= DIAL_GRACE;
            let may_dial = is_turn && peer.dials_count < DIALS_MAX_COUNT;
            let address = peer.address.filter(|_| may_dial)?;
            peer.dials_count += 1;
            peer.dialling = true;
            Some((vm.clone(), address))
        });
        lost.collect()
    }

    async fn open(self: Rc<Self>, vm: VmId, address: SocketAddr) {
        let connection = self.connect(&vm, address).await;
        if let Some(peer) = self.peers.borrow_mut().get_mut(&vm) {
            peer.dialling = false;
        }
        if let Some(connection) = connection {
            self.keep(vm, connection).await;
        }
    }

    async fn connect(&self, vm: &VmId, address: SocketAddr) -> Option<Connection> {
        let connecting = match self.endpoint.connect(address, SERVER_NAME) {
            Ok(connecting) => connecting,
            Err(error) => {
                log::warn!(peer:% = vm; "peer can't be dialled: {error}");
                return None;
            }
        };
        let reached = timeout(CONNECT_TIMEOUT, connecting).await;
        let refused = match reached {
            Ok(Ok(connection)) => match identity::peer_of(&connection) {
                Ok(named) if named == *vm => return Some(connection),
                Ok(named) => format!("{address} is VM {named}: its entry is old"),
                Err(error) => error.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        log::debug!(peer:% = vm; "peer not reached: {refused}");
        None
    }

    /// Uses a connection until it ends.
    async fn keep(self: &Rc<Self>, vm: VmId, connection: Connection) {
        let (outbox, queue) = flume::unbounded();
        let link = Link {
            connection: connection.clone(),
            outbox,
        };
        let first = {
            let mut peers = self.peers.borrow_mut();
            let peer = peers.entry(vm.clone()).or_default();
            peer.dials_count = 0;
            peer.links.push(link);
            peer.links.len() == 1
        };
        if first {
            (self.sink)(DispatchEvent::PeerUp { vm: vm.clone() });
        }
        spawn_local(write(connection.clone(), queue));
        while let Ok(stream) = connection.accept_uni().await {
            spawn_local(read(stream, vm.clone(), Rc::clone(&self.sink)));
        }
        self.drop_link(&vm, &connection);
    }

    fn drop_link(&self, vm: &VmId, connection: &Connection) {
        let event = {
            let mut peers = self.peers.borrow_mut();
            let Some(peer) = peers.get_mut(vm) else {
                return;
            };
            let id = connection.stable_id();
            let was_first = peer
                .links
                .first()
                .is_some_and(|l| l.connection.stable_id() == id);
            peer.links.retain(|link| link.connection.stable_id() != id);
            if peer.links.is_empty() {
                peer.lost_at = Some(Instant::now());
            }
            match (was_first, peer.links.is_empty()) {
                (_, true) => Some(DispatchEvent::PeerDown { vm: vm.clone() }),
                (true, false) => Some(DispatchEvent::PeerUp { vm: vm.clone() }),
                (false, false) => None,
            }
        };
        if let Some(event) = event {
            (self.sink)(event);
        }
    }

    /// Tells all peers that this daemon ends.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopped");
    }
}

async fn write(connection: Connection, queue: Receiver<Bytes>) {
    let Ok(mut stream) = connection.open_uni().await else {
        return;
    };
    while let Ok(coded) = queue.recv_async().await {
        if let Err(error) = connection::write_frame(&mut stream, &coded).await {
            return log::debug!("{error}");
        }
    }
}

async fn read(mut stream: RecvStream, vm: VmId, sink: MeshSink) {
    while let Ok(coded) = connection::read_frame(&mut stream).await {
        match postcard::from_bytes(&coded) {
            Ok(note) => sink(DispatchEvent::PeerMessage {
                vm: vm.clone(),
                message: note,
            }),
            Err(error) => log::warn!(peer:% = vm; "a note makes no sense: {error}"),
        }
    }
}
