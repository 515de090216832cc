//! Freshness reports: few daemons poll the store for operators' writes, and the others rely on them.
//! Calls to the store are priced one by one, and in a large fleet each daemon must know operators'
//! writes to the second.
//!
//! A follower sends its own clock to the readers. After its next contact with the store, a reader
//! returns that clock value, and the follower's knowledge counts as current at that time. So delays
//! of the messages never make knowledge look newer than it is.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord,
};
use crate::{
    ids::VmId,
    units::{Millis, Time},
    watch::{StorePosition, Topic},
};
use std::collections::BTreeMap;

/// Number of daemons that read the store: the first ones by name. There are two because one may be
/// frozen or cut off.
const STORE_READERS_LEN: usize = 2;

/// Time after which a follower repeats a request that was not answered.
const REQUEST_RETRY_MS: Millis = Millis::new(700);

/// The followers of this daemon, and the schedule of its own requests.
#[derive(Debug, Default)]
pub(super) struct FreshnessState {
    followers: BTreeMap<VmId, Follower>,
    next_request_at: Time,
}

/// A follower's latest request.
#[derive(Clone, Copy, Debug)]
struct Follower {
    /// The follower's clock when it sent the request.
    asked_at: Time,
    /// When the request was received, by this daemon's clock.
    received_at: Time,
}

impl Dispatcher {
    /// Requests freshness reports from the readers, if this daemon is not a reader.
    pub(super) fn request_freshness(&mut self, out: &mut Out<'_>) {
        let follows = self.follows_readers();
        self.operators.set_follower(follows);
        self.operators.set_relies_on_peers(follows);
        self.upstreams.set_relies_on_peers(follows);
        if !follows || out.now < self.freshness.next_request_at {
            return;
        }
        self.freshness.next_request_at = out.now + REQUEST_RETRY_MS;
        for reader in self.peers.keys().take(STORE_READERS_LEN) {
            out.act(DispatchAction::Notify {
                to: Some(reader.clone()),
                message: DispatchMessage::FreshnessRequest { asked_at: out.now },
            });
        }
    }

    /// Whether this daemon relies on readers: enough peers come before it by name.
    pub(super) fn follows_readers(&self) -> bool {
        let last_reader = self.peers.keys().nth(STORE_READERS_LEN - 1);
        last_reader.is_some_and(|peer| *peer < self.vm)
    }

    /// Records a follower's request.
    pub(super) fn on_freshness_request(&mut self, now: Time, peer: &VmId, asked_at: Time) {
        let follower = Follower {
            asked_at,
            received_at: now,
        };
        self.freshness.followers.insert(peer.clone(), follower);
    }

    /// Removes a follower that is gone.
    pub(super) fn forget_follower(&mut self, peer: &VmId) {
        self.freshness.followers.remove(peer);
    }

    /// Reports a contact with the store to all followers.
    pub(super) fn report_freshness(&mut self, out: &mut Out<'_>) {
        let (Some(position), Some(fresh_at)) =
            (self.operators.position(), self.operators.fresh_at())
        else {
            return;
        };
        let changed = self.operators.changed_at();
        for (peer, follower) in &self.freshness.followers {
            let asked_at = (follower.received_at <= fresh_at).then_some(follower.asked_at);
            out.act(DispatchAction::Notify {
                to: Some(peer.clone()),
                message: DispatchMessage::FreshnessReport {
                    asked_at,
                    changed,
                    position,
                },
            });
        }
    }

    /// Handles a reader's report of its contact with the store.
    pub(super) fn on_freshness_report(
        &mut self,
        out: &mut Out<'_>,
        peer: VmId,
        asked_at: Option<Time>,
        changed: StorePosition,
        position: StorePosition,
    ) {
        let knowledge_ms = self.knowledge_ms(out.now);
        if self
            .operators
            .on_peer_confirmation(out.now, asked_at, changed, position)
        {
            out.log(DispatchRecord::Dependency {
                dependency: Topic::Operators.name(),
                reachable: true,
                detail: format!("position {position}, reported by {peer}"),
                knowledge_ms,
            });
        }
        if asked_at.is_some() && self.follows_readers() {
            out.act(DispatchAction::Notify {
                to: Some(peer),
                message: DispatchMessage::FreshnessRequest { asked_at: out.now },
            });
        }
    }
}
