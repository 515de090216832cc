//! Freshness reports: few daemons poll the store for operators' writes, and the others rely on them.
//! Calls to the store are priced one by one, and in a large fleet each daemon must know operators'
//! writes to the second.
//!
//! A follower sends its own clock to the readers. After its next contact with the store, a reader
//! returns that clock value, and the follower's knowledge counts as current at that time. So delays
//! of the messages never make knowledge look newer than it is. A clock value counts only if this process
//! has sent it: a reader may still return that of the process that ran on this VM before.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord,
};
use crate::{
    ids::VmId,
    units::{Millis, Time},
    watch::{Topic, Unchanged},
};
use std::collections::{BTreeMap, BTreeSet};

/// Number of daemons that read the store: the first ones by name. There are two because one may be
/// frozen or cut off.
const STORE_READERS_LEN: usize = 2;

/// Time after which a follower repeats a request that was not answered.
const REQUEST_RETRY_MS: Millis = Millis::new(700);

/// Most requests that are remembered. Readers answer the latest one that they got; older ones matter only where
/// messages are late.
const REQUESTS_MAX_LEN: usize = 64;

/// The followers of this daemon, and its own requests.
#[derive(Debug, Default)]
pub(super) struct FreshnessState {
    followers: BTreeMap<VmId, Follower>,
    next_request_at: Time,
    /// When this process sent the requests whose reports would be news.
    requested_at: BTreeSet<Time>,
}

impl FreshnessState {
    /// Records a request, and forgets those that are not later than what is known.
    fn on_request(&mut self, now: Time, fresh_at: Option<Time>) {
        self.requested_at
            .retain(|asked_at| Some(*asked_at) > fresh_at);
        self.requested_at.insert(now);
        while self.requested_at.len() > REQUESTS_MAX_LEN {
            self.requested_at.pop_first();
        }
    }
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
        let readers: Vec<_> = self.peers.keys().take(STORE_READERS_LEN).cloned().collect();
        for reader in readers {
            self.send_freshness_request(out, reader);
        }
    }

    fn send_freshness_request(&mut self, out: &mut Out<'_>, reader: VmId) {
        self.freshness
            .on_request(out.now, self.operators.fresh_at());
        out.act(DispatchAction::Notify {
            to: Some(reader),
            message: DispatchMessage::FreshnessRequest { asked_at: out.now },
        });
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
        let (Some(unchanged), Some(fresh_at)) =
            (self.operators.unchanged(), self.operators.fresh_at())
        else {
            return;
        };
        let Unchanged { changed, position } = unchanged;
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
        confirmed: Unchanged,
    ) {
        let knowledge_ms = self.knowledge_ms(out.now);
        let news_at = asked_at.filter(|asked_at| Some(*asked_at) > self.operators.fresh_at());
        let confirmed_at = news_at.filter(|at| self.freshness.requested_at.contains(at));
        if let (Some(asked_at), None) = (news_at, confirmed_at) {
            out.log(DispatchRecord::FreshnessReportIgnored {
                member: peer.clone(),
                asked_at,
                knowledge_ms,
            });
        }
        if self
            .operators
            .on_peer_confirmation(out.now, confirmed_at, confirmed)
        {
            let position = confirmed.position;
            out.log(DispatchRecord::Dependency {
                dependency: Topic::Operators.name(),
                reachable: true,
                detail: format!("position {position}, reported by {peer}"),
                knowledge_ms,
            });
        }
        if asked_at.is_some() && self.follows_readers() {
            self.send_freshness_request(out, peer);
        }
    }
}
