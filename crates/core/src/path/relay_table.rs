//! Peers that pass connections on, and the connections that this daemon passes on for them.

use super::upstream_path::is_before;
use crate::{
    ids::{FailureDomain, RelayId, UpstreamId, VmId},
    units::{Millis, Time},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Most connections that a daemon passes on for its peers at the same time. They use descriptors that are
/// reserved beside those of callers.
const RELAYED_MAX_LEN: usize = 256;

/// Time for which a peer by way of which no connection was opened is asked after the others.
const USELESS_MS: Millis = Millis::new(1_000);

/// Weight of a peer in the own failure domain against one in another domain.
const OWN_DOMAIN_WEIGHT: f64 = 3.0;

/// What a daemon tells its peers about passing connections on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayOffer {
    /// The daemon's failure domain.
    pub domain: FailureDomain,
    /// Failure domains to which it has lost its own links.
    pub lost_domains: BTreeSet<FailureDomain>,
    /// Whether it is about to stop.
    pub is_stopping: bool,
}

/// A peer's offer, and until when it is the last choice.
#[derive(Debug)]
struct Peer {
    offer: RelayOffer,
    useless_until: Option<Time>,
}

/// The peers' offers and the connections that are passed on for them.
#[derive(Debug, Default)]
pub struct RelayTable {
    peers: BTreeMap<VmId, Peer>,
    relayed: BTreeSet<RelayId>,
}

impl RelayTable {
    /// Records a peer's offer. Returns whether the peer has just begun to stop.
    pub fn on_offer(&mut self, vm: &VmId, offer: RelayOffer) -> bool {
        let known = self.peers.get(vm);
        let was_stopping = known.is_some_and(|peer| peer.offer.is_stopping);
        let is_stopping = offer.is_stopping;
        let peer = Peer {
            offer,
            useless_until: None,
        };
        self.peers.insert(vm.clone(), peer);
        is_stopping && !was_stopping
    }

    /// Records that no connection was opened by way of a peer.
    pub fn on_useless(&mut self, now: Time, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.useless_until = Some(now + USELESS_MS);
        }
    }

    /// Removes a peer that disconnected.
    pub fn forget_peer(&mut self, vm: &VmId) {
        self.peers.remove(vm);
    }

    /// Up to `relays_len` peers to reach an upstream by, the best one first. Each daemon spreads its
    /// upstreams over its peers, and keeps to the same peer for an upstream, so that connections are used again.
    pub fn choose(
        &self,
        now: Time,
        own: (&VmId, &FailureDomain),
        upstream: (&UpstreamId, &FailureDomain),
        relays_len: usize,
    ) -> Vec<VmId> {
        let may_relay = |(_, peer): &(&VmId, &Peer)| {
            !peer.offer.is_stopping && !peer.offer.lost_domains.contains(upstream.1)
        };
        let order = |(vm, peer): (&VmId, &Peer)| {
            let weight = if peer.offer.domain == *own.1 {
                OWN_DOMAIN_WEIGHT
            } else {
                1.0
            };
            let hash = xxh3_64(format!("{}\n{}\n{vm}", own.0, upstream.0).as_bytes());
            let drawn = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            let is_useless = is_before(now, peer.useless_until);
            (is_useless, -drawn.ln() / weight, vm.clone())
        };
        let mut ordered: Vec<_> = self.peers.iter().filter(may_relay).map(order).collect();
        ordered.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        let chosen = ordered.into_iter().take(relays_len);
        chosen.map(|(_, _, vm)| vm).collect()
    }

    /// Adds a connection that is passed on for a peer, unless there are too many.
    pub fn admit(&mut self, relay: RelayId) -> bool {
        let has_room = self.relayed.len() < RELAYED_MAX_LEN;
        has_room && self.relayed.insert(relay)
    }

    /// Removes a connection that ended.
    pub fn on_ended(&mut self, relay: RelayId) {
        self.relayed.remove(&relay);
    }

    /// Number of connections that are passed on.
    pub fn relayed_len(&self) -> usize {
        self.relayed.len()
    }
}
