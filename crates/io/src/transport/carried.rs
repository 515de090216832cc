//! What a connection has carried.

use persimmon_core::dispatch::ConnectionUse;
use std::{
    collections::HashSet,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
};

/// Requests with ids that a connection may carry, as all of them are known.
const NAMED_MAX_LEN: usize = 1_024;

/// The requests that a connection has carried.
#[derive(Debug, Default)]
pub(super) struct Carried {
    is_used: bool,
    /// Hashes of the ids. Two ids with the same hash only cost a connection.
    named: HashSet<u64>,
}

impl Carried {
    /// Records a request that is about to be written. Returns what the connection had carried before it.
    pub(super) fn record(&mut self, request_id: Option<&str>) -> ConnectionUse {
        let is_first = !std::mem::replace(&mut self.is_used, true);
        let is_new_id = request_id.is_none_or(|id| self.named.insert(hash(id)));
        match (is_first, is_new_id) {
            (true, _) => ConnectionUse::New,
            (false, true) => ConnectionUse::Kept,
            (false, false) => ConnectionUse::Repeated,
        }
    }

    /// Whether the connection has carried a request before.
    pub(super) fn has(&self, request_id: &str) -> bool {
        self.named.contains(&hash(request_id))
    }

    /// Whether the connection may carry no more requests.
    pub(super) fn is_full(&self) -> bool {
        self.named.len() >= NAMED_MAX_LEN
    }
}

fn hash(request_id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(request_id)
}
