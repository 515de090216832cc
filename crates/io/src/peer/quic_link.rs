//! The QUIC implementation of the peer link.

use super::{
    connection,
    envelope::Envelope,
    handshakes::Handshakes,
    identity::{self, Identity},
    keys::SERVER_NAME,
    PeerError,
};
use crate::link::PeerLink;
use bytes::Bytes;
use persimmon_core::{
    ids::{Incarnation, VmId},
    message::PeerMessage,
    Event,
};
use quinn::{Connection, Endpoint, SendStream};
use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    runtime::{Builder, Runtime},
    sync::{mpsc, Notify},
    time::timeout,
};

/// Receives the events of the link.
pub type EventSink = Arc<dyn Fn(Event) + Send + Sync>;

/// Capacity of the queue of messages to one peer; further messages are dropped.
const QUEUE_LEN: usize = 4096;

/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for notifying peers when the link closes, and again for stopping the runtime.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Idle time after which the queue of a peer and its writer task end.
const QUEUE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest heartbeat that is sent as a datagram instead of on a stream.
const DATAGRAM_MAX_BYTES: usize = 1_000;

/// Messages between daemons over QUIC.
pub struct QuicLink {
    shared: Arc<Shared>,
    runtime: Option<Runtime>,
    local_address: SocketAddr,
}

struct Shared {
    endpoint: Endpoint,
    incarnation: Incarnation,
    sink: EventSink,
    peers: Mutex<HashMap<VmId, Peer>>,
}

#[derive(Default)]
struct Peer {
    queue: Option<mpsc::Sender<Outgoing>>,
    connection: Option<Connection>,
    connected: Arc<Notify>,
}

struct Outgoing {
    address: SocketAddr,
    encoded: Bytes,
    datagram: bool,
}

impl QuicLink {
    /// Listens on `address` (port 0 for any free port) and passes every message to `sink`.
    ///
    /// # Errors
    ///
    /// The address can't be used, or no thread can be started.
    pub fn start(
        address: SocketAddr,
        identity: Identity,
        incarnation: Incarnation,
        sink: EventSink,
    ) -> Result<Self, PeerError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("peer-link")
            .enable_all()
            .build()
            .map_err(PeerError::Runtime)?;
        let listen = |source| PeerError::Listen { address, source };
        let guard = runtime.enter();
        let mut endpoint = Endpoint::server(identity.server.clone(), address).map_err(listen)?;
        drop(guard);
        endpoint.set_default_client_config(identity.client.clone());
        let local_address = endpoint.local_addr().map_err(listen)?;
        let peers = Mutex::default();
        let shared = Arc::new(Shared {
            endpoint,
            incarnation,
            sink,
            peers,
        });
        runtime.spawn(accept(shared.clone()));
        Ok(Self {
            shared,
            runtime: Some(runtime),
            local_address,
        })
    }
}

impl PeerLink for QuicLink {
    fn send(&self, to: &VmId, address: SocketAddr, message: PeerMessage) {
        let is_heartbeat = matches!(message, PeerMessage::Heartbeat(_));
        let envelope = Envelope {
            incarnation: self.shared.incarnation,
            message,
        };
        let encoded = match envelope.encode() {
            Ok(encoded) => encoded,
            Err(error) => return log::error!(peer:% = to; "{error}"),
        };
        let datagram = is_heartbeat && encoded.len() <= DATAGRAM_MAX_BYTES;
        let outgoing = Outgoing {
            address,
            encoded,
            datagram,
        };
        if let Some(runtime) = &self.runtime {
            self.shared.clone().enqueue(runtime, to, outgoing);
        }
    }

    fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Counts complete UDP payloads, including QUIC overhead.
    fn traffic_bytes(&self) -> Option<(u64, u64)> {
        let peers = self.shared.lock();
        let stats = peers
            .values()
            .filter_map(|peer| peer.connection.as_ref())
            .map(|c| c.stats());
        Some(stats.fold((0, 0), |(tx, rx), s| {
            (tx + s.udp_tx.bytes, rx + s.udp_rx.bytes)
        }))
    }
}

impl Drop for QuicLink {
    fn drop(&mut self) {
        self.shared.endpoint.close(0u32.into(), b"stopped");
        if let Some(runtime) = self.runtime.take() {
            let endpoint = self.shared.endpoint.clone();
            let _ = runtime.block_on(async { timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await });
            runtime.shutdown_timeout(CLOSE_TIMEOUT);
        }
    }
}

impl fmt::Debug for QuicLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QuicLink")
            .field("local_address", &self.local_address)
            .finish()
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<VmId, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue(self: Arc<Self>, runtime: &Runtime, to: &VmId, outgoing: Outgoing) {
        let mut peers = self.lock();
        let peer = peers.entry(to.clone()).or_default();
        let outgoing = match &peer.queue {
            Some(queue) => match queue.try_send(outgoing) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    return log::warn!(peer:% = to; "message dropped: the peer's queue is full");
                }
                Err(mpsc::error::TrySendError::Closed(outgoing)) => outgoing,
            },
            None => outgoing,
        };
        let (sender, receiver) = mpsc::channel(QUEUE_LEN);
        // A new channel always has room for one message.
        let _ = sender.try_send(outgoing);
        peer.queue = Some(sender);
        drop(peers);
        runtime.spawn(write_queue(self.clone(), to.clone(), receiver));
    }

    fn set_connection(&self, vm: &VmId, connection: &Connection) {
        let mut peers = self.lock();
        let peer = peers.entry(vm.clone()).or_default();
        peer.connection = Some(connection.clone());
        peer.connected.notify_waiters();
    }

    fn open_connection(&self, vm: &VmId) -> Option<Connection> {
        let peers = self.lock();
        let connection = peers.get(vm)?.connection.as_ref()?;
        connection
            .close_reason()
            .is_none()
            .then(|| connection.clone())
    }

    /// Returns a connection to a peer, dialling `address` if there is none. If the peer connects in
    /// the meantime, its connection is used at once: a peer that restarted at another address does
    /// not have to wait for the dial of its old address to time out.
    async fn connect(
        self: &Arc<Self>,
        vm: &VmId,
        address: SocketAddr,
    ) -> Result<Connection, PeerError> {
        let connected = Arc::clone(&self.lock().entry(vm.clone()).or_default().connected);
        let connected = connected.notified();
        if let Some(connection) = self.open_connection(vm) {
            return Ok(connection);
        }
        tokio::select! {
            opened = self.open(vm, address) => opened,
            () = connected => {
                let closed = || PeerError::Connection(format!("VM {vm} closed its connection at once"));
                self.open_connection(vm).ok_or_else(closed)
            }
        }
    }

    async fn open(
        self: &Arc<Self>,
        vm: &VmId,
        address: SocketAddr,
    ) -> Result<Connection, PeerError> {
        let failed = |e: &dyn fmt::Display| PeerError::Connection(e.to_string());
        let connecting = self
            .endpoint
            .connect(address, SERVER_NAME)
            .map_err(|e| failed(&e))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|e| failed(&e))?
            .map_err(|e| failed(&e))?;
        let named = identity::peer_of(&connection)?;
        if named != *vm {
            connection.close(1u32.into(), b"other VM");
            return Err(failed(&format_args!(
                "{address} belongs to VM {named}, not {vm}"
            )));
        }
        self.set_connection(vm, &connection);
        let reader = connection::read(connection.clone(), named, self.sink.clone());
        tokio::spawn(reader);
        Ok(connection)
    }
}

async fn accept(shared: Arc<Shared>) {
    let handshakes = Handshakes::default();
    while let Some(incoming) = shared.endpoint.accept().await {
        let Some((incoming, handshake)) = handshakes.admit(incoming) else {
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            drop(handshake);
            match identity::peer_of(&connection) {
                Ok(vm) => {
                    shared.set_connection(&vm, &connection);
                    connection::read(connection, vm, shared.sink.clone()).await;
                }
                Err(error) => log::warn!("peer connection rejected: {error}"),
            }
        });
    }
}

async fn write_queue(shared: Arc<Shared>, to: VmId, mut queue: mpsc::Receiver<Outgoing>) {
    let mut stream: Option<(usize, SendStream)> = None;
    while let Ok(Some(outgoing)) = timeout(QUEUE_IDLE_TIMEOUT, queue.recv()).await {
        if let Err(error) = write(&shared, &to, &outgoing, &mut stream).await {
            log::debug!(peer:% = to; "{error}");
            stream = None;
            (shared.sink)(Event::PeerUnreachable { vm: to.clone() });
        }
    }
}

async fn write(
    shared: &Arc<Shared>,
    to: &VmId,
    outgoing: &Outgoing,
    stream: &mut Option<(usize, SendStream)>,
) -> Result<(), PeerError> {
    let connection = shared.connect(to, outgoing.address).await?;
    let datagram_fits = connection
        .max_datagram_size()
        .is_some_and(|m| outgoing.encoded.len() <= m);
    if outgoing.datagram && datagram_fits {
        let sent = connection.send_datagram(outgoing.encoded.clone());
        return sent.map_err(|e| PeerError::Connection(e.to_string()));
    }
    let writer = match stream {
        Some((id, writer)) if *id == connection.stable_id() => writer,
        _ => {
            let opened = connection.open_uni().await;
            let opened = opened.map_err(|e| PeerError::Connection(e.to_string()))?;
            &mut stream.insert((connection.stable_id(), opened)).1
        }
    };
    connection::write_frame(writer, &outgoing.encoded).await
}
