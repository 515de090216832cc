//! Peers: connections to them, and their messages.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchAction, DispatchMessage, DispatchRecord, InFlightId, InFlightReport,
};
use crate::{
    ids::{SendId, VmId},
    prefix::DaemonSend,
    units::Time,
    watch::Unchanged,
};

impl Dispatcher {
    /// Index of a peer in the in-flight table.
    fn peer_index(&mut self, vm: VmId) -> u32 {
        let last = &mut self.last_peer_index;
        *self.peers.entry(vm).or_insert_with(|| {
            *last += 1;
            *last
        })
    }

    /// Handles a new connection: the peer learns what this daemon has in flight and which catalog it uses.
    pub(super) fn on_peer_up(&mut self, out: &mut Out<'_>, vm: VmId) {
        self.peer_index(vm.clone());
        self.roster.on_linked(out.now, &vm);
        let message = DispatchMessage::Snapshot(self.in_flight.own_reports(out.now));
        out.log(DispatchRecord::Peer {
            member: vm.clone(),
            connected: true,
        });
        out.act(DispatchAction::Notify {
            to: Some(vm.clone()),
            message,
        });
        self.announce_extensions(out, &vm);
        out.act(DispatchAction::Notify {
            to: Some(vm.clone()),
            message: DispatchMessage::Relay(self.relay_offer()),
        });
        self.report_rate_limits(out, &vm);
        self.report_quarantine(out, vm.clone());
        self.report_catalog(out, vm);
    }

    /// Handles a lost connection: what the peer reported no longer counts.
    pub(super) fn on_peer_down(&mut self, out: &mut Out<'_>, vm: &VmId) {
        let Some(index) = self.peers.remove(vm) else {
            return;
        };
        self.in_flight.forget_daemon(out.now, index);
        self.prefixes.end_daemon(out.now, index);
        self.forget_follower(vm);
        self.relays.forget_peer(vm);
        self.restore.forget_peer(vm);
        self.extension_peers.forget(vm);
        self.upstream_bytes.table.forget_peer(vm);
        out.log(DispatchRecord::Peer {
            member: vm.clone(),
            connected: false,
        });
    }

    /// Handles a peer's message.
    pub(super) fn on_peer_message(
        &mut self,
        out: &mut Out<'_>,
        vm: &VmId,
        message: DispatchMessage,
    ) {
        let index = self.peer_index(vm.clone());
        match message {
            DispatchMessage::Batch(messages) => {
                for message in messages {
                    self.on_peer_message(out, vm, message);
                }
            }
            DispatchMessage::FreshnessRequest { asked_at } => {
                self.on_freshness_request(out.now, vm, asked_at)
            }
            DispatchMessage::FreshnessReport {
                asked_at,
                changed,
                position,
            } => {
                let confirmed = Unchanged { changed, position };
                self.on_freshness_report(out, vm.clone(), asked_at, confirmed);
            }
            DispatchMessage::UpstreamChanges {
                after,
                position,
                changes,
            } => self.on_upstream_changes(out, vm, after, position, changes),
            DispatchMessage::OperatorChanges {
                after,
                position,
                changes,
            } => self.on_operator_changes(out, after, position, changes),
            DispatchMessage::CatalogInUse(stamp) => self.on_peer_catalog(vm, stamp),
            DispatchMessage::UpstreamLeaving(leaving) => self.on_peer_leaving(out, vm, &leaving),
            DispatchMessage::UpstreamBackoff { upstream, for_ms } => {
                self.on_peer_backoff(out, vm, &upstream, for_ms);
            }
            DispatchMessage::UpstreamEjected {
                upstream,
                for_ms,
                unreachable,
            } => self.on_peer_ejection(out, vm, &upstream, for_ms, unreachable),
            DispatchMessage::UpstreamReplaced(gone) => self.on_replaced(out, &gone, Some(vm)),
            DispatchMessage::Quarantine(message) => self.on_quarantine_message(out, vm, message),
            DispatchMessage::RateLimits(reports) => self.on_peer_rate_limits(out, vm, reports),
            DispatchMessage::Relay(offer) => self.on_relay_offer(out, vm, offer),
            DispatchMessage::Extension(frame) => self.on_extension_frame(out, vm, &frame),
            DispatchMessage::Started(report) => self.on_peer_started(out.now, index, &report),
            DispatchMessage::FirstEvent(send) => self.on_peer_first_event(out.now, index, send),
            DispatchMessage::Ended(send) => self.on_peer_ended(out.now, index, send),
            DispatchMessage::Snapshot(reports) => self.on_peer_snapshot(out.now, index, &reports),
        }
    }

    fn on_peer_snapshot(&mut self, now: Time, index: u32, reports: &[InFlightReport]) {
        self.in_flight.replace_daemon(now, index, reports);
        self.prefixes.end_daemon(now, index);
    }

    fn on_peer_started(&mut self, now: Time, index: u32, report: &InFlightReport) {
        self.slow_start.on_sent(now, &report.upstream);
        self.health.on_sent(now, &report.upstream);
        let helpers = report.helpers.iter().map(|helper| &helper.upstream);
        let upstreams = std::iter::once(&report.upstream).chain(helpers);
        self.count_against_rate_limits(now, upstreams);
        self.in_flight.on_report(now, index, report);
    }

    fn on_peer_ended(&mut self, now: Time, index: u32, send: SendId) {
        self.in_flight.end(now, InFlightId::new(index, send));
        let id = DaemonSend {
            daemon_index: index,
            send,
        };
        self.prefixes.on_end(now, id);
    }

    fn on_peer_first_event(&mut self, now: Time, index: u32, send: SendId) {
        if let Some(upstream) = self.in_flight.upstream(index, send) {
            self.health.on_peer_success(upstream);
        }
        let id = InFlightId::new(index, send);
        self.in_flight.on_first_event(now, id);
    }
}
