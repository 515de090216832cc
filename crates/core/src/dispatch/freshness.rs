//! Few daemons read the store; the others follow them. Answers the load of a large fleet: calls to
//! the store are priced one by one, and each daemon must know operators' writes to the second.
//!
//! A daemon tells the readers its own time. With its next contact to the store, a reader gives that
//! time back, and the daemon's knowledge counts as old as that, however long the words were under way.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord,
};
use crate::{
    ids::{StoreVersion, VmId},
    units::{Millis, Time},
    watch::Topic,
};
use std::collections::BTreeMap;

/// Daemons that read the store, the first by name: one may be frozen or cut off.
const STORE_READERS_LEN: usize = 2;

/// Time after which a reader that did not answer is asked again.
const REQUEST_RETRY_MS: Millis = Millis::new(700);

/// Who follows this daemon, and whom it follows.
#[derive(Debug, Default)]
pub(super) struct FreshnessState {
    followers: BTreeMap<VmId, Follower>,
    next_request_at: Time,
}

/// A follower's word.
#[derive(Clone, Copy, Debug)]
struct Follower {
    /// The follower's own time.
    asked_at: Time,
    /// When it was heard here.
    heard_at: Time,
}

impl Dispatcher {
    /// Asks the readers to vouch, where this daemon is none itself.
    pub(super) fn request_freshness(&mut self, out: &mut Out<'_>) {
        let follows = self.follows_readers();
        self.operators.listen(follows);
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

    /// Whether enough peers come before this daemon to read the store.
    fn follows_readers(&self) -> bool {
        let last_reader = self.peers.keys().nth(STORE_READERS_LEN - 1);
        last_reader.is_some_and(|peer| *peer < self.vm)
    }

    /// A peer follows this daemon.
    pub(super) fn on_freshness_request(&mut self, now: Time, peer: &VmId, asked_at: Time) {
        let follower = Follower {
            asked_at,
            heard_at: now,
        };
        self.freshness.followers.insert(peer.clone(), follower);
    }

    /// A peer is gone.
    pub(super) fn forget_follower(&mut self, peer: &VmId) {
        self.freshness.followers.remove(peer);
    }

    /// Tells all followers of a contact with the store.
    pub(super) fn report_freshness(&mut self, out: &mut Out<'_>) {
        let (Some(version), Some(fresh_at)) =
            (self.operators.position(), self.operators.fresh_at())
        else {
            return;
        };
        let changed = self.operators.changed_at();
        for (peer, follower) in &self.freshness.followers {
            let asked_at = (follower.heard_at <= fresh_at).then_some(follower.asked_at);
            out.act(DispatchAction::Notify {
                to: Some(peer.clone()),
                message: DispatchMessage::FreshnessReport {
                    asked_at,
                    changed,
                    version,
                },
            });
        }
    }

    /// A reader had contact with the store.
    pub(super) fn on_freshness_report(
        &mut self,
        out: &mut Out<'_>,
        peer: VmId,
        asked_at: Option<Time>,
        changed: StoreVersion,
        version: StoreVersion,
    ) {
        let knowledge_ms = self.knowledge_ms(out.now);
        if self
            .operators
            .on_peer_confirmation(out.now, asked_at, changed, version)
        {
            out.log(DispatchRecord::Dependency {
                dependency: Topic::Operators.name(),
                reachable: true,
                detail: format!("version {version}, by word of {peer}"),
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
