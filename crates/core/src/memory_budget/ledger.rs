//! The bytes that a daemon holds, and what it may hold besides.

use crate::{ids::BodyId, units::ByteCount};
use std::collections::BTreeMap;

/// Sixteenths of the budget that a response above [`SMALL_RESPONSE_BYTES`] may fill. Slow callers of large responses
/// leave the rest to others.
const LARGE_RESPONSES_PARTS: u64 = 12;

/// Sixteenths of the budget that new work may fill: requests and relays. The rest is for the responses of requests
/// that have been admitted.
const NEW_WORK_PARTS: u64 = 14;

/// Sixteenths of the budget that connections may fill beside the rest. A caller whose connection is closed gets no
/// refusal, so there is room for connections on which requests are refused.
const CONNECTIONS_PARTS: u64 = 15;

/// Sixteenths of the budget that connections may fill at most, however many clients open them.
const CONNECTIONS_OWN_PARTS: u64 = 10;

/// Number of parts of the whole budget.
const ALL_PARTS: u64 = 16;

/// A request is admitted if so many of its size fit in what is left for new work. The largest are thus refused first.
const ADMITTED_MULTIPLE: u64 = 4;

/// What a response may hold up to the whole budget. It lets the events of a stream pass while slow callers have
/// filled the part for large responses.
const SMALL_RESPONSE_BYTES: ByteCount = ByteCount::new(64 << 10);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemoryUse {
    /// Buffers of callers' connections.
    Connections,
    /// Buffers of connections that are passed on for peers.
    Relays,
    /// Bodies of requests, while they are received, queued and in flight.
    Requests,
    /// Responses, from the upstream's socket to the caller's.
    Responses,
}

impl MemoryUse {
    /// All uses.
    pub const ALL: [Self; 4] = [
        Self::Connections,
        Self::Relays,
        Self::Requests,
        Self::Responses,
    ];

    /// The use's name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Relays => "relays",
            Self::Requests => "requests",
            Self::Responses => "responses",
        }
    }
}

/// The bytes that a daemon holds against its budget.
#[derive(Debug)]
pub struct MemoryLedger {
    budget: ByteCount,
    held: BTreeMap<MemoryUse, ByteCount>,
    peak: ByteCount,
    /// What has been received of each request that is not complete.
    receiving: BTreeMap<BodyId, ByteCount>,
}

impl MemoryLedger {
    /// A ledger that holds nothing against a budget.
    pub const fn new(budget: ByteCount) -> Self {
        Self {
            budget,
            held: BTreeMap::new(),
            peak: ByteCount::ZERO,
            receiving: BTreeMap::new(),
        }
    }

    /// A ledger that has room for these connections, and for these requests beside them.
    pub const fn for_listener(connections: ByteCount, requests: ByteCount) -> Self {
        let connections = connections.get().div_ceil(CONNECTIONS_OWN_PARTS) * ALL_PARTS;
        let requests = requests.get().div_ceil(NEW_WORK_PARTS) * ALL_PARTS;
        Self::new(ByteCount::new(connections + requests))
    }

    /// The budget.
    pub const fn budget(&self) -> ByteCount {
        self.budget
    }

    /// All that is held.
    pub fn held(&self) -> ByteCount {
        self.held.values().copied().sum()
    }

    /// What is held for one use.
    pub fn held_for(&self, memory_use: MemoryUse) -> ByteCount {
        self.held.get(&memory_use).copied().unwrap_or_default()
    }

    /// The most that has been held at once.
    pub const fn peak(&self) -> ByteCount {
        self.peak
    }

    /// Whether a request with a body of this size is admitted: several such bodies fit in what is left for new work.
    pub fn admits_request(&self, body: ByteCount) -> bool {
        let left = self.part(NEW_WORK_PARTS).saturating_sub(self.held());
        left > ByteCount::ZERO && body.get() <= left.get() / ADMITTED_MULTIPLE
    }

    /// Holds `more` for a use if it fits. `own` is what the same response holds already; other uses ignore it.
    /// Returns false, and holds nothing, if it does not fit.
    pub fn hold(&mut self, memory_use: MemoryUse, own: ByteCount, more: ByteCount) -> bool {
        let limit = match memory_use {
            MemoryUse::Responses if own + more <= SMALL_RESPONSE_BYTES => self.budget,
            MemoryUse::Responses => self.part(LARGE_RESPONSES_PARTS),
            MemoryUse::Connections => self.part(CONNECTIONS_PARTS),
            MemoryUse::Relays | MemoryUse::Requests => self.part(NEW_WORK_PARTS),
        };
        let held = self.held() + more;
        let held_by_use = self.held_for(memory_use) + more;
        if held > limit || held_by_use > self.own_limit(memory_use) {
            return false;
        }
        *self.held.entry(memory_use).or_default() += more;
        self.peak = self.peak.max(held);
        true
    }

    /// Gives up bytes that were held for a use.
    pub fn release(&mut self, memory_use: MemoryUse, bytes: ByteCount) {
        let held = self.held.entry(memory_use).or_default();
        *held = held.saturating_sub(bytes);
    }

    /// Records how much has been received of a request that is not complete.
    pub fn on_received(&mut self, body: BodyId, bytes: ByteCount) {
        self.receiving.insert(body, bytes);
    }

    /// Records that a request is complete, or was given up.
    pub fn on_receive_ended(&mut self, body: BodyId) {
        self.receiving.remove(&body);
    }

    /// The request of which most has been received, of equal ones the last to arrive. It is refused first when a
    /// body does not fit.
    pub fn largest_receiving(&self) -> Option<BodyId> {
        let receiving = self.receiving.iter();
        let largest = receiving.max_by_key(|(body, bytes)| (**bytes, **body));
        largest.map(|(body, _)| *body)
    }

    /// What one use may hold, whatever the others leave.
    fn own_limit(&self, memory_use: MemoryUse) -> ByteCount {
        match memory_use {
            MemoryUse::Connections => self.part(CONNECTIONS_OWN_PARTS),
            MemoryUse::Relays | MemoryUse::Requests | MemoryUse::Responses => self.budget,
        }
    }

    fn part(&self, parts: u64) -> ByteCount {
        ByteCount::new(self.budget.get() / ALL_PARTS * parts)
    }
}
