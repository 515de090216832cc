//! The connections of a listener, by what they wait for.

use crate::ids::ConnectionId;
use std::collections::{BTreeMap, HashMap};

/// Connections that have brought no request yet leave first while they are at least one in this many. Below that the
/// others go first, so that a new client has time to send its request.
const NEW_PART: usize = 4;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ConnectionStage {
    /// The whole head of its first request.
    New,
    /// The whole head of another request.
    Idle,
    /// The rest of a body.
    Receiving,
    /// A client that takes no more bytes of its response.
    Unread,
    /// The daemon or an upstream. Such a connection is not closed to make room.
    Working,
}

/// The stages whose connections may be closed, in the order in which they are.
const CLOSABLE: [ConnectionStage; 4] = [
    ConnectionStage::Idle,
    ConnectionStage::New,
    ConnectionStage::Receiving,
    ConnectionStage::Unread,
];

/// The connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    last_id: ConnectionId,
    /// Number of changes of stage so far.
    changes_count: u64,
    open: HashMap<ConnectionId, Open>,
    /// The connections of each stage, the longest in it first.
    by_stage: BTreeMap<(ConnectionStage, u64), ConnectionId>,
    new_len: usize,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    stage: ConnectionStage,
    since: u64,
}

impl ConnectionTable {
    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a connection that has brought no request yet.
    pub fn open(&mut self) -> ConnectionId {
        self.last_id = self.last_id.next();
        self.enter(self.last_id, ConnectionStage::New);
        self.last_id
    }

    /// Moves a connection to another stage. Within the same one, it keeps its turn.
    pub fn set_stage(&mut self, connection: ConnectionId, stage: ConnectionStage) {
        let is_same = |open: &Open| open.stage == stage;
        if self.open.get(&connection).is_none_or(is_same) {
            return;
        }
        self.close(connection);
        self.enter(connection, stage);
    }

    /// Removes a connection.
    pub fn close(&mut self, connection: ConnectionId) {
        if let Some(Open { stage, since }) = self.open.remove(&connection) {
            self.by_stage.remove(&(stage, since));
            self.new_len -= usize::from(stage == ConnectionStage::New);
        }
    }

    /// The connection to close first for another one; none if all have work.
    pub fn first_to_close(&self) -> Option<ConnectionId> {
        let are_many_new = self.new_len * NEW_PART >= self.open.len();
        let new = are_many_new.then_some(ConnectionStage::New);
        let mut stages = new.into_iter().chain(CLOSABLE);
        stages.find_map(|stage| self.longest_in(stage))
    }

    fn longest_in(&self, stage: ConnectionStage) -> Option<ConnectionId> {
        let mut in_stage = self.by_stage.range((stage, 0)..=(stage, u64::MAX));
        in_stage.next().map(|(_, connection)| *connection)
    }

    fn enter(&mut self, connection: ConnectionId, stage: ConnectionStage) {
        self.changes_count += 1;
        let since = self.changes_count;
        self.open.insert(connection, Open { stage, since });
        self.by_stage.insert((stage, since), connection);
        self.new_len += usize::from(stage == ConnectionStage::New);
    }
}
