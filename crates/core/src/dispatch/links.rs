//! Paths to upstreams: which of them a connection tries, and what the attempts say about this daemon's own
//! links. A daemon that has lost its links goes on serving by way of its peers.

use super::{
    dispatcher::{Dispatcher, Out, Sending},
    DispatchAction, DispatchMessage, DispatchRecord,
};
use crate::{
    fleet::{UpstreamIncarnation, UpstreamRecord},
    ids::{CallId, FailureDomain, SendId, UpstreamId, VmId},
    path::{LinkChange, PathAttempts, PathEnd, PathPlan, PathReport, RelayOffer, UpstreamPath},
    units::{Millis, Time},
};

/// Time after which a second path is tried beside one that does not connect: a multiple of the round trip in a
/// region, and a fraction of the shortest latency target.
const PATH_STAGGER_MS: Millis = Millis::new(50);

/// Number of peers that one connection may try while this daemon's links are sound.
const RELAYS_SPARE_LEN: usize = 2;

/// Number of peers that one connection or check may try otherwise. Several VMs can lose their links at once, and
/// those that have not noticed yet don't refuse to relay.
const RELAYS_NEEDED_LEN: usize = 5;

impl Dispatcher {
    /// The paths on which to open a connection to an upstream.
    pub(super) fn path_plan(&self, now: Time, record: &UpstreamRecord) -> PathPlan {
        let relays_len = if self.links.are_sound(now) {
            RELAYS_SPARE_LEN
        } else {
            RELAYS_NEEDED_LEN
        };
        self.path_plan_over(now, record, relays_len)
    }

    /// The paths on which to check whether an upstream can be reached.
    pub(super) fn check_plan(&self, now: Time, record: &UpstreamRecord) -> PathPlan {
        self.path_plan_over(now, record, RELAYS_NEEDED_LEN)
    }

    fn path_plan_over(&self, now: Time, record: &UpstreamRecord, relays_len: usize) -> PathPlan {
        let relays = self.relays.choose(
            now,
            (&self.vm, &self.domain),
            (&record.id, &record.domain),
            relays_len,
        );
        let mut paths: Vec<_> = relays.into_iter().map(UpstreamPath::Relay).collect();
        if self.links.is_lost(now, &record.id, &record.domain) {
            paths.push(UpstreamPath::Direct);
        } else {
            paths.insert(0, UpstreamPath::Direct);
        }
        PathPlan {
            paths,
            stagger_ms: PATH_STAGGER_MS,
        }
    }

    /// Whether a transmission is on a link of this daemon that is lost, so that its failure says nothing of
    /// the upstream.
    pub(super) fn is_on_lost_link(&self, now: Time, sending: &Sending) -> bool {
        let record = self.record_on_own_link(sending);
        record.is_some_and(|record| self.links.is_lost(now, &record.id, &record.domain))
    }

    /// Whether a transmission hangs, as its link is lost.
    pub(super) fn is_on_hanging_link(&self, now: Time, sending: &Sending) -> bool {
        let record = self.record_on_own_link(sending);
        record.is_some_and(|record| self.links.hangs(now, &record.id, &record.domain))
    }

    fn record_on_own_link(&self, sending: &Sending) -> Option<&UpstreamRecord> {
        let known = self.fleet.get(&sending.upstream)?;
        sending.relay.is_none().then_some(&known.record)
    }

    /// Handles a connection that was not opened on the preferred path.
    pub(super) fn on_paths_tried(&mut self, out: &mut Out<'_>, report: PathReport) {
        self.learn_from_attempts(out, &report.upstream, &report.attempts);
        out.log(DispatchRecord::PathsTried {
            request: report.request,
            upstream: report.upstream.id,
            attempts: report.attempts,
        });
    }

    /// Checks the own link of a transmission whose upstream is silent, though not for long enough to count as
    /// stalled: the link may have been lost, so that the connection hangs.
    pub(super) fn check_link(&mut self, out: &mut Out<'_>, sending: &Sending) {
        let Some(record) = self.record_on_own_link(sending).cloned() else {
            return;
        };
        let is_known = self.links.is_lost(out.now, &record.id, &record.domain);
        if !is_known && !self.peers.is_empty() && self.links.take_check(out.now, &record.id) {
            out.act(DispatchAction::CheckUpstream {
                upstream: record.incarnation(),
                address: record.address,
                paths: self.check_plan(out.now, &record),
            });
        }
    }

    /// Handles a transmission that goes by way of a peer.
    pub(super) fn on_relayed(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        send: SendId,
        relay: VmId,
    ) {
        let request = self.request_id(call);
        let open = self.calls.get_mut(&call);
        let Some(sending) = open.and_then(|open| open.sending.as_mut()) else {
            return;
        };
        if sending.send == send {
            sending.relay = Some(relay.clone());
            let upstream = sending.upstream.clone();
            out.log(DispatchRecord::Relayed {
                request,
                send,
                upstream,
                relay,
            });
        }
    }

    /// Learns from attempts to connect which links and which relays work.
    pub(super) fn learn_from_attempts(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamIncarnation,
        attempts: &PathAttempts,
    ) {
        for vm in attempts.useless_relays() {
            self.relays.on_useless(out.now, vm);
        }
        let Some(known) = self.fleet.get(&upstream.id) else {
            return;
        };
        let domain = known.record.domain.clone();
        let change = match attempts.direct() {
            Some(PathEnd::Connected) => self.links.on_connected(&upstream.id, &domain),
            Some(end) if attempts.show_lost_link() => {
                self.on_lost_link(out, &upstream.id, &domain, end == PathEnd::Silent)
            }
            Some(_) => {
                self.links.on_probe_failed(&domain);
                None
            }
            None => None,
        };
        if let Some(change) = change {
            self.apply_link_change(out, domain, &change);
        }
    }

    /// Records that the own link to a sound upstream is lost. If it hangs, idle connections to other upstreams may
    /// hang too, and a request on one of them would be lost time: those that were not used a moment ago are closed.
    fn on_lost_link(
        &mut self,
        out: &mut Out<'_>,
        upstream: &UpstreamId,
        domain: &FailureDomain,
        hangs: bool,
    ) -> Option<LinkChange> {
        if hangs && self.links.are_sound(out.now) {
            let upstreams = self.fleet.iter();
            out.act(DispatchAction::DiscardIdle {
                addresses: upstreams.map(|known| known.record.address).collect(),
                idle_for_ms: PATH_STAGGER_MS,
            });
        }
        self.health.lift_ejection(upstream);
        let upstreams_len = self.fleet.in_domain(domain).count();
        let links = &mut self.links;
        links.on_lost(out.now, upstream, domain, hangs, upstreams_len)
    }

    /// Peers learn that this daemon can't relay to a domain, or can again. Its own ejections there were mistakes.
    fn apply_link_change(&mut self, out: &mut Out<'_>, domain: FailureDomain, change: &LinkChange) {
        if *change == LinkChange::Lost {
            for known in self.fleet.in_domain(&domain) {
                self.health.lift_ejection(&known.record.id);
            }
        }
        out.log(DispatchRecord::Links {
            domain,
            lost: *change == LinkChange::Lost,
        });
        self.notify_now(out.now, DispatchMessage::Relay(self.relay_offer()));
    }

    /// Tests the links that are lost.
    pub(super) fn progress_links(&mut self, out: &mut Out<'_>) {
        for (domain, probes_count) in self.links.take_probes(out.now) {
            let upstreams: Vec<_> = self.fleet.in_domain(&domain).collect();
            if upstreams.is_empty() {
                self.links.forget_domain(&domain);
                continue;
            }
            let record = &upstreams[probes_count % upstreams.len()].record;
            out.act(DispatchAction::CheckUpstream {
                upstream: record.incarnation(),
                address: record.address,
                paths: PathPlan::direct(),
            });
        }
    }

    /// What peers need to know to choose this daemon as a relay.
    pub(super) fn relay_offer(&self) -> RelayOffer {
        RelayOffer {
            domain: self.domain.clone(),
            lost_domains: self.links.lost_domains().cloned().collect(),
            is_stopping: self.shutdown.is_some(),
        }
    }

    /// Handles a peer's offer. Idle connections by way of a peer that stops are closed, so that it is not kept
    /// from stopping.
    pub(super) fn on_relay_offer(&mut self, out: &mut Out<'_>, vm: &VmId, offer: RelayOffer) {
        if self.relays.on_offer(vm, offer) {
            out.act(DispatchAction::DiscardRelayed { peer: vm.clone() });
        }
    }
}
