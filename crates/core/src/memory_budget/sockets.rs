//! What the kernel may hold for the connections of callers.

use crate::units::ByteCount;
use std::collections::BTreeMap;

/// Number of parts of the whole.
const ALL_PARTS: u64 = 16;

/// What the buffer of a socket is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SocketUse {
    /// The small buffers that each connection has.
    Connection,
    /// A larger one for a large body.
    LargeBody,
    /// A larger one for a large response.
    LargeResponse,
}

impl SocketUse {
    /// Sixteenths of the whole that this use may fill. None takes the room of another.
    const fn parts(self) -> u64 {
        match self {
            Self::Connection => 8,
            Self::LargeBody => 1,
            Self::LargeResponse => 7,
        }
    }
}

/// The buffers of callers' sockets, at the sizes to which the kernel may fill them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SocketLedger {
    budget: ByteCount,
    held: BTreeMap<SocketUse, ByteCount>,
}

impl SocketLedger {
    /// A ledger that holds nothing against a budget.
    pub const fn new(budget: ByteCount) -> Self {
        Self {
            budget,
            held: BTreeMap::new(),
        }
    }

    /// A ledger that has room for these connections.
    pub const fn for_connections(connections: ByteCount) -> Self {
        let parts = SocketUse::Connection.parts();
        Self::new(ByteCount::new(
            connections.get().div_ceil(parts) * ALL_PARTS,
        ))
    }

    /// All that is held.
    pub fn held(&self) -> ByteCount {
        self.held.values().copied().sum()
    }

    /// Holds `more` if it fits. Returns false, and holds nothing, if it does not.
    pub fn hold(&mut self, socket_use: SocketUse, more: ByteCount) -> bool {
        let limit = self.budget.get() / ALL_PARTS * socket_use.parts();
        let held = self.held.entry(socket_use).or_default();
        if *held + more > ByteCount::new(limit) {
            return false;
        }
        *held += more;
        true
    }

    /// Gives up what was held.
    pub fn release(&mut self, socket_use: SocketUse, bytes: ByteCount) {
        let held = self.held.entry(socket_use).or_default();
        *held = held.saturating_sub(bytes);
    }
}
