//! The bytes that this daemon holds for callers, upstreams and peers, counted against its memory budget.

use super::socket::{CALLER_SOCKET_BYTES, LARGE_RECEIVE_BYTES, LARGE_SEND_BYTES};
use bytes::Bytes;
use persimmon_core::{
    ids::BodyId,
    memory_budget::{MemoryLedger, MemorySettings, MemoryUse, SocketLedger, SocketUse},
    units::{ByteCount, Millis},
};
use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Buffers of a caller's connection: the HTTP library begins with 8 KB in each direction.
const CONNECTION_BYTES: ByteCount = ByteCount::new(16 << 10);

/// Buffers of a connection that is passed on for a peer: 8 KB in each direction, and a quarter of what the link
/// may have received beyond that. All of it is rarely filled.
const RELAY_BYTES: ByteCount = ByteCount::new(80 << 10);

/// What a queued chunk takes beside its bytes.
const CHUNK_OVERHEAD_BYTES: u64 = 256;

/// `Retry-After` for a request that does not fit: most responses are done by then.
pub(super) const RETRY_AFTER_MS: Millis = Millis::new(1_000);

/// The memory budget of a daemon.
#[derive(Debug)]
pub struct Memory {
    state: Mutex<State>,
    /// Notified when bytes are given up.
    released: Notify,
    unread_timeout_ms: Millis,
}

#[derive(Debug)]
struct State {
    ledger: MemoryLedger,
    sockets: SocketLedger,
    last_body: BodyId,
    /// Notified when a request that is being received is refused.
    receiving: HashMap<BodyId, Arc<Notify>>,
}

/// What is held, and the most that was held, at one time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryUsage {
    /// The budget.
    pub budget: ByteCount,
    /// All that is held.
    pub held: ByteCount,
    /// What is held for each use.
    pub by_use: [(MemoryUse, ByteCount); 4],
    /// The most that has been held at once.
    pub peak: ByteCount,
    /// What the kernel may hold for callers' sockets.
    pub sockets: ByteCount,
}

impl Memory {
    /// Creates the budget that the settings give.
    pub fn new(settings: MemorySettings) -> Arc<Self> {
        Self::with_ledgers(
            MemoryLedger::new(settings.budget_bytes),
            SocketLedger::new(settings.sockets_bytes),
            settings.unread_timeout_ms,
        )
    }

    /// Creates a budget for a listener that takes so many connections and holds so many bytes of bodies beside them.
    pub(crate) fn for_listener(connections_len: usize, bodies_max_bytes: usize) -> Arc<Self> {
        let all = |each: ByteCount| ByteCount::new(each.get() * connections_len as u64);
        let bodies = ByteCount::new(bodies_max_bytes as u64);
        Self::with_ledgers(
            MemoryLedger::for_listener(all(CONNECTION_BYTES), bodies),
            SocketLedger::for_connections(all(CALLER_SOCKET_BYTES)),
            Millis::ZERO,
        )
    }

    fn with_ledgers(
        ledger: MemoryLedger,
        sockets: SocketLedger,
        unread_timeout_ms: Millis,
    ) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                ledger,
                sockets,
                last_body: BodyId::default(),
                receiving: HashMap::new(),
            }),
            released: Notify::new(),
            unread_timeout_ms,
        })
    }

    /// What is held now.
    pub fn usage(&self) -> MemoryUsage {
        let state = self.lock();
        let ledger = &state.ledger;
        MemoryUsage {
            budget: ledger.budget(),
            held: ledger.held(),
            by_use: MemoryUse::ALL.map(|memory_use| (memory_use, ledger.held_for(memory_use))),
            peak: ledger.peak(),
            sockets: state.sockets.held(),
        }
    }

    /// Waits until no response is held any more: all have been written to their callers' sockets.
    pub async fn responses_sent(&self) {
        loop {
            let mut released = std::pin::pin!(self.released.notified());
            released.as_mut().enable();
            if self.lock().ledger.held_for(MemoryUse::Responses) == ByteCount::ZERO {
                return;
            }
            released.await;
        }
    }

    /// Time after which a caller that takes no bytes is disconnected.
    pub(super) const fn unread_timeout(&self) -> Duration {
        self.unread_timeout_ms.duration()
    }

    /// Holds the buffers of a caller's connection, in the process and in the kernel; none if they do not fit.
    pub(crate) fn connection(self: &Arc<Self>) -> Option<(Held, HeldSocket)> {
        let socket = self.try_hold_socket(SocketUse::Connection, CALLER_SOCKET_BYTES)?;
        let buffers = self.try_hold(MemoryUse::Connections, CONNECTION_BYTES)?;
        Some((buffers, socket))
    }

    /// Holds the buffers of a connection for a peer; none if they do not fit.
    pub(super) fn relay(self: &Arc<Self>) -> Option<Held> {
        self.try_hold(MemoryUse::Relays, RELAY_BYTES)
    }

    /// Holds a larger buffer of a caller's socket for a body; none if it does not fit.
    pub(super) fn large_receive_buffer(self: &Arc<Self>) -> Option<HeldSocket> {
        self.try_hold_socket(SocketUse::LargeBody, LARGE_RECEIVE_BYTES)
    }

    /// The same for a response.
    pub(super) fn large_send_buffer(self: &Arc<Self>) -> Option<HeldSocket> {
        self.try_hold_socket(SocketUse::LargeResponse, LARGE_SEND_BYTES)
    }

    fn try_hold_socket(
        self: &Arc<Self>,
        socket_use: SocketUse,
        bytes: ByteCount,
    ) -> Option<HeldSocket> {
        let fits = self.lock().sockets.hold(socket_use, bytes);
        fits.then(|| HeldSocket {
            memory: Arc::clone(self),
            socket_use,
            bytes,
        })
    }

    /// Holds what a long head takes beside the buffers of its connection; none if it does not fit.
    pub(super) fn long_head(self: &Arc<Self>, bytes: ByteCount) -> Option<Held> {
        self.try_hold(MemoryUse::Requests, bytes)
    }

    fn try_hold(self: &Arc<Self>, memory_use: MemoryUse, bytes: ByteCount) -> Option<Held> {
        let mut held = self.hold_none(memory_use);
        held.try_grow(bytes.get()).then_some(held)
    }

    fn hold_none(self: &Arc<Self>, memory_use: MemoryUse) -> Held {
        Held {
            memory: Arc::clone(self),
            memory_use,
            bytes: 0,
            own: Arc::default(),
        }
    }

    /// Whether a request whose caller states this size is admitted.
    pub(super) fn admits_request(&self, body_bytes: u64) -> bool {
        self.lock()
            .ledger
            .admits_request(ByteCount::new(body_bytes))
    }

    /// Begins to receive a request.
    pub(super) fn receive(self: &Arc<Self>) -> Receiving {
        let mut state = self.lock();
        state.last_body = state.last_body.next();
        let id = state.last_body;
        let refused = Arc::new(Notify::new());
        state.receiving.insert(id, Arc::clone(&refused));
        state.ledger.on_received(id, ByteCount::ZERO);
        Receiving {
            held: self.hold_none(MemoryUse::Requests),
            id,
            refused,
        }
    }

    /// Begins to hold a response.
    pub(super) fn response(self: &Arc<Self>) -> Held {
        self.hold_none(MemoryUse::Responses)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    memory: Arc<Memory>,
    memory_use: MemoryUse,
    bytes: u64,
    /// All bytes of the same response, in whatever part.
    own: Arc<AtomicU64>,
}

impl Held {
    /// Holds more bytes if they fit.
    fn try_grow(&mut self, bytes: u64) -> bool {
        let own = ByteCount::new(self.own.load(Ordering::Relaxed));
        let more = ByteCount::new(bytes);
        let fits = self.memory.lock().ledger.hold(self.memory_use, own, more);
        if fits {
            self.bytes += bytes;
            self.own.fetch_add(bytes, Ordering::Relaxed);
        }
        fits
    }

    /// Holds more bytes, and waits until they fit.
    pub(super) async fn grow(&mut self, bytes: u64) {
        while !self.try_grow(bytes) {
            let memory = Arc::clone(&self.memory);
            let mut released = std::pin::pin!(memory.released.notified());
            released.as_mut().enable();
            if self.try_grow(bytes) {
                return;
            }
            released.await;
        }
    }

    /// Moves what is held for the first `len` bytes of a response to these bytes, which give it up when they have
    /// been written to the caller's socket.
    pub(super) fn split_chunk(&mut self, chunk: Bytes) -> Bytes {
        let bytes = chunk_bytes(chunk.len()).min(self.bytes);
        self.bytes -= bytes;
        let held = Self {
            memory: Arc::clone(&self.memory),
            memory_use: self.memory_use,
            bytes,
            own: Arc::clone(&self.own),
        };
        held.attach(chunk)
    }

    /// Gives up what is held beyond `bytes`.
    pub(super) fn shrink_to(&mut self, bytes: u64) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.release(surplus);
    }

    /// Ties what is held to these bytes: it is given up when their last copy is dropped.
    pub(super) fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _held: self })
    }

    fn release(&self, bytes: u64) {
        if bytes == 0 {
            return;
        }
        self.own.fetch_sub(bytes, Ordering::Relaxed);
        let bytes = ByteCount::new(bytes);
        self.memory.lock().ledger.release(self.memory_use, bytes);
        self.memory.released.notify_waiters();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// What the kernel may hold for a socket, until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldSocket {
    memory: Arc<Memory>,
    socket_use: SocketUse,
    bytes: ByteCount,
}

impl Drop for HeldSocket {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.sockets.release(self.socket_use, self.bytes);
    }
}

/// What a chunk of a response takes.
pub(super) const fn chunk_bytes(len: usize) -> u64 {
    len as u64 + CHUNK_OVERHEAD_BYTES
}

struct HeldBytes {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A request that does not fit in the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NoRoom;

/// A request that is being received.
#[derive(Debug)]
pub(super) struct Receiving {
    held: Held,
    id: BodyId,
    refused: Arc<Notify>,
}

impl Receiving {
    /// Waits until the request is refused because another one that is smaller needs its room.
    pub(super) async fn refused(&self) {
        self.refused.notified().await;
    }

    /// Holds more bytes of the request. If they do not fit, the largest of the requests that are being received is
    /// refused.
    ///
    /// # Errors
    ///
    /// This request is refused.
    pub(super) async fn grow(&mut self, bytes: u64) -> Result<(), NoRoom> {
        let memory = Arc::clone(&self.held.memory);
        loop {
            let mut released = std::pin::pin!(memory.released.notified());
            released.as_mut().enable();
            if self.held.try_grow(bytes) {
                let received = ByteCount::new(self.held.bytes);
                memory.lock().ledger.on_received(self.id, received);
                return Ok(());
            }
            self.refuse_largest()?;
            tokio::select! {
                () = released => {}
                () = self.refused.notified() => return Err(NoRoom),
            }
        }
    }

    /// Refuses the largest request that is being received.
    fn refuse_largest(&self) -> Result<(), NoRoom> {
        let state = self.held.memory.lock();
        let largest = state.ledger.largest_receiving();
        let other = largest
            .filter(|largest| *largest != self.id)
            .ok_or(NoRoom)?;
        if let Some(refused) = state.receiving.get(&other) {
            refused.notify_one();
        }
        Ok(())
    }

    /// Returns what is held for the complete request.
    pub(super) fn complete(mut self) -> Held {
        let memory = Arc::clone(&self.held.memory);
        std::mem::replace(&mut self.held, memory.hold_none(MemoryUse::Requests))
    }
}

impl Drop for Receiving {
    fn drop(&mut self) {
        let mut state = self.held.memory.lock();
        state.receiving.remove(&self.id);
        state.ledger.on_receive_ended(self.id);
        // Another request may now be the largest.
        self.held.memory.released.notify_waiters();
    }
}
