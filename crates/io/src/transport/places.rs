//! The places that a listener has for connections.

use super::caller_stream::SocketRequest;
use persimmon_core::{
    connections::{ConnectionStage, ConnectionTable},
    ids::ConnectionId,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time::timeout};

/// Longest wait of a connection for a place while all others have work. Its client gives up not much later.
const PLACE_TIMEOUT: Duration = Duration::from_millis(500);

/// The places that a listener has for connections.
#[derive(Debug, Default)]
pub(crate) struct Places {
    table: RefCell<ConnectionTable>,
    evictions: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// Notified when a connection has ended.
    freed: Notify,
    /// Whether a connection waits for a place, and none can be closed for it.
    is_wanted: Cell<bool>,
}

impl Places {
    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.table.borrow().len()
    }

    /// Takes a place for a connection.
    pub(crate) fn take(self: &Rc<Self>) -> Rc<Place> {
        let id = self.table.borrow_mut().open();
        let eviction = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, Rc::clone(&eviction));
        Rc::new(Place {
            places: Rc::clone(self),
            id,
            eviction,
            head_bytes: Cell::new(0),
            stage: Cell::new(ConnectionStage::New),
            socket: RefCell::default(),
            is_answered: Cell::new(false),
        })
    }

    /// Closes the connection that can be spared most and waits until it has ended. If all have work, waits a moment for
    /// one whose response is complete. Returns false if none ends.
    pub(crate) async fn make_room(&self) -> bool {
        let mut freed = std::pin::pin!(self.freed.notified());
        freed.as_mut().enable();
        let first = self.table.borrow().first_to_close();
        if let Some(first) = first {
            if let Some(eviction) = self.evictions.borrow().get(&first) {
                eviction.notify_one();
            }
            freed.await;
            return true;
        }
        self.is_wanted.set(true);
        let is_freed = timeout(PLACE_TIMEOUT, freed).await.is_ok();
        self.is_wanted.set(false);
        is_freed
    }

    /// Whether connections are to end after their response, because all have work and another one waits.
    pub(crate) fn is_wanted(&self) -> bool {
        self.is_wanted.get()
    }
}

/// The place of one connection.
#[derive(Debug)]
pub(crate) struct Place {
    places: Rc<Places>,
    id: ConnectionId,
    eviction: Rc<Notify>,
    /// Bytes that arrived since the last request was complete.
    head_bytes: Cell<usize>,
    stage: Cell<ConnectionStage>,
    /// What the connection's socket is to do before it is read again.
    socket: RefCell<Option<SocketRequest>>,
    /// Whether the response to the last request is complete, though perhaps not written yet.
    is_answered: Cell<bool>,
}

impl Place {
    /// Waits until the connection is to be closed for another one. If it has got work in the meantime, it stays.
    pub(crate) async fn evicted(&self) {
        loop {
            self.eviction.notified().await;
            if self.stage.get() != ConnectionStage::Working {
                return;
            }
            // Another one is chosen.
            self.places.freed.notify_waiters();
        }
    }

    /// Asks for a change of the connection's socket.
    pub(super) fn request_socket(&self, request: SocketRequest) {
        self.socket.replace(Some(request));
    }

    /// Takes the change that was asked for last.
    pub(super) fn take_socket_request(&self) -> Option<SocketRequest> {
        self.socket.take()
    }

    /// Records what the connection waits for.
    pub(crate) fn set_stage(&self, stage: ConnectionStage) {
        if self.stage.replace(stage) != stage {
            self.places.table.borrow_mut().set_stage(self.id, stage);
        }
    }

    /// Whether the connection waits for the head of a request.
    pub(super) fn awaits_head(&self) -> bool {
        matches!(
            self.stage.get(),
            ConnectionStage::New | ConnectionStage::Idle
        )
    }

    /// Records that bytes have arrived. Returns how many have arrived of a head that is not complete.
    pub(super) fn on_read(&self, bytes: usize) -> usize {
        if self.awaits_head() {
            self.head_bytes.set(self.head_bytes.get() + bytes);
        }
        self.head_bytes.get()
    }

    /// Records that the head of a request is complete.
    pub(crate) fn on_request(&self) {
        self.head_bytes.set(0);
        self.is_answered.set(false);
        self.set_stage(ConnectionStage::Working);
    }

    /// Records that the response is complete.
    pub(super) fn on_answered(&self) {
        self.is_answered.set(true);
    }

    /// Records that the client takes no more bytes.
    pub(super) fn on_unread(&self) {
        if self.stage.get() == ConnectionStage::Working {
            self.set_stage(ConnectionStage::Unread);
        }
    }

    /// Records that the client has taken bytes again.
    pub(super) fn on_written(&self) {
        if self.stage.get() == ConnectionStage::Unread {
            self.set_stage(ConnectionStage::Working);
        }
    }

    /// Records that all bytes so far were written.
    pub(super) fn on_flushed(&self) {
        if self.is_answered.get() && !self.awaits_head() {
            self.set_stage(ConnectionStage::Idle);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.table.borrow_mut().close(self.id);
        self.places.evictions.borrow_mut().remove(&self.id);
        self.places.freed.notify_waiters();
    }
}
