//! The dispatcher: a state machine that turns events into actions.

use super::{
    in_flight::OWN_DAEMON_INDEX, Call, DispatchAction, DispatchEvent, DispatchMessage,
    DispatchRecord, DispatchSettings, HealthTable, InFlightId, InFlightTable, Quarantine,
    RateLimitTable, RetryBudget, SlowStartLimiter,
};
use crate::{
    catalog::{Catalog, KeyHolder, Route, Service},
    dispatch::{
        backoff::BackoffTable, crash_check::CrashChecks, ejection_report::EjectionReports,
        extension_peers::ExtensionPeers, freshness::FreshnessState, outbox::Outbox,
        placement::Placement, reservation::Reservations, restore::RestoreState, roster::Roster,
        shutdown::Shutdown, upstream_bytes::UpstreamBytes,
    },
    fleet::Fleet,
    ids::{CallId, CatalogVersion, FailureDomain, Fingerprint, SendId, StoreEra, UpstreamId, VmId},
    path::{LinkTable, RelayTable},
    prefix::PrefixTable,
    returns::PromiseTable,
    sharing::{SentWorkTable, ShareTable},
    speed::SpeedTable,
    units::{Millis, Time},
    watch::{StorePosition, Topic, TopicWatch},
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Interval of ticks while calls are queued or a shutdown is in progress.
const TICK_MS: Millis = Millis::new(20);

/// Interval of ticks otherwise.
const IDLE_TICK_MS: Millis = Millis::new(250);

/// Time beyond a call's deadline for which an upstream may still report the timeout itself.
const OVERDUE_SLACK_MS: Millis = Millis::new(60);

/// A transmission in progress.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    pub(super) send: SendId,
    pub(super) upstream: UpstreamId,
    pub(super) sent_at: Time,
    pub(super) predicted_ms: Option<f64>,
    /// The prediction for an engine at the speed of its profile.
    pub(super) expected_ms: Option<f64>,
    /// Helper engines that prefill parts of the prompt.
    pub(super) helpers: Vec<UpstreamId>,
    /// Whether an upstream may have got the request before. It then counts against the retry budget.
    pub(super) is_repeat: bool,
    /// When the first event of this transmission came.
    pub(super) begun_at: Option<Time>,
    /// Whether the upstream has been silent for long enough that the link is checked.
    pub(super) is_silent: bool,
    /// The peer by way of which it goes.
    pub(super) relay: Option<VmId>,
}

/// A call that is not finished.
#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) call: Call,
    pub(super) arrived_at: Time,
    pub(super) deadline_at: Time,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    pub(super) holder: Option<KeyHolder>,
    /// What the request has in common with its repeats by the same caller.
    pub(super) fingerprint: Fingerprint,
    /// Upstreams that the next transmission must not use: those tried, and helpers at fault.
    pub(super) excluded: Vec<UpstreamId>,
    /// Failure domain in which the last transmission was lost.
    pub(super) lost_domain: Option<FailureDomain>,
    /// Number of ended transmissions that an upstream may have run.
    pub(super) reached_count: u32,
    /// Number of all transmissions.
    pub(super) tries_count: u32,
    pub(super) sending: Option<Sending>,
    pub(super) first_at: Option<Time>,
    /// Longest gap between two events of the response, once it is complete.
    pub(super) longest_gap_ms: Option<Millis>,
    pub(super) may_have_run: bool,
    /// Whether an earlier transmission may have reached an upstream, be it one that refused.
    pub(super) has_arrived: bool,
    /// Whether a retry was granted that is not sent yet.
    pub(super) is_retry_granted: bool,
    pub(super) waiting_since: Option<Time>,
    /// The placement for which memory is being reserved.
    pub(super) reserving: Option<Placement>,
    /// Number of groups of engines at which memory was reserved.
    pub(super) groups_count: u32,
    /// Whether the call tries a quarantined part of its prompt.
    pub(super) is_trial: bool,
    /// Whether the caller returned at the time that it was promised.
    pub(super) is_returning: bool,
}

impl OpenCall {
    /// Time left for the complete answer.
    pub(super) fn left_ms(&self, now: Time) -> Millis {
        self.deadline_at.since(now)
    }

    /// The id of the transmission in progress.
    pub(super) fn sending_id(&self) -> Option<SendId> {
        self.sending.as_ref().map(|sending| sending.send)
    }

    /// Whether the transmission in progress has had its first event.
    pub(super) fn has_begun(&self) -> bool {
        self.sending
            .as_ref()
            .is_some_and(|sending| sending.begun_at.is_some())
    }

    /// When the call is given up. While it is at an upstream, that is a little after its deadline, so
    /// that the upstream can report the timeout itself.
    pub(super) fn give_up_at(&self) -> Time {
        match self.sending {
            Some(_) => self.deadline_at + OVERDUE_SLACK_MS,
            None => self.deadline_at,
        }
    }

    /// Time since the request arrived.
    pub(super) fn age_ms(&self, now: Time) -> Millis {
        now.since(self.arrived_at)
    }
}

/// The time of an event, and the actions that handling it produces.
pub(super) struct Out<'a> {
    pub(super) now: Time,
    pub(super) actions: &'a mut Vec<DispatchAction>,
}

impl Out<'_> {
    pub(super) fn act(&mut self, action: DispatchAction) {
        self.actions.push(action);
    }

    pub(super) fn log(&mut self, record: DispatchRecord) {
        self.act(DispatchAction::Log(Box::new(record)));
    }
}

/// Dispatches the requests of one daemon's callers.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) vm: VmId,
    pub(super) domain: FailureDomain,
    pub(super) catalog: Option<Arc<Catalog>>,
    /// The latest era of the store that had the catalog.
    pub(super) catalog_era: StoreEra,
    pub(super) fleet: Fleet,
    pub(super) operators: TopicWatch,
    pub(super) upstreams: TopicWatch,
    pub(super) in_flight: InFlightTable,
    pub(super) health: HealthTable,
    pub(super) backoff: BackoffTable,
    pub(super) rate_limits: RateLimitTable,
    pub(super) slow_start: SlowStartLimiter,
    pub(super) speeds: SpeedTable,
    pub(super) links: LinkTable,
    pub(super) relays: RelayTable,
    pub(super) budget: RetryBudget,
    pub(super) reservations: Reservations,
    pub(super) freshness: FreshnessState,
    pub(super) restore: RestoreState,
    pub(super) crash_checks: CrashChecks,
    pub(super) ejection_reports: EjectionReports,
    pub(super) quarantine: Quarantine,
    /// When answers were last checked for fingerprints that their upstreams have survived.
    pub(super) survivals_checked_at: Time,
    pub(super) prefixes: PrefixTable,
    pub(super) outbox: Outbox,
    /// Work of workspaces, if their shares are used.
    pub(super) sharing: Option<ShareTable>,
    pub(super) sent_work: SentWorkTable,
    pub(super) promises: PromiseTable,
    pub(super) upstream_bytes: UpstreamBytes,
    pub(super) calls: BTreeMap<CallId, OpenCall>,
    pub(super) waiting: VecDeque<CallId>,
    pub(super) peers: BTreeMap<VmId, u32>,
    pub(super) extension_peers: ExtensionPeers,
    pub(super) last_peer_index: u32,
    pub(super) roster: Roster,
    pub(super) last_send: SendId,
    pub(super) ready: Option<bool>,
    pub(super) shutdown: Option<Shutdown>,
    last_tick: Time,
}

impl Dispatcher {
    /// A dispatcher without a catalog, upstreams or peers.
    pub fn new(settings: DispatchSettings, vm: VmId, domain: FailureDomain) -> Self {
        Self {
            roster: Roster::new(vm.clone()),
            vm,
            domain,
            catalog: None,
            catalog_era: StoreEra::default(),
            fleet: Fleet::default(),
            operators: TopicWatch::new(Topic::Operators, settings.operators),
            upstreams: TopicWatch::new(Topic::Upstreams, settings.upstreams),
            in_flight: InFlightTable::default(),
            health: HealthTable::default(),
            backoff: BackoffTable::default(),
            rate_limits: RateLimitTable::default(),
            slow_start: SlowStartLimiter::default(),
            speeds: SpeedTable::new(settings.speeds),
            links: LinkTable::default(),
            relays: RelayTable::default(),
            budget: RetryBudget::new(
                settings.retry_percent,
                settings.retry_allowance_requests,
                settings.retry_window_ms,
            ),
            reservations: Reservations::default(),
            freshness: FreshnessState::default(),
            restore: RestoreState::default(),
            crash_checks: CrashChecks::default(),
            ejection_reports: EjectionReports::default(),
            quarantine: Quarantine::default(),
            survivals_checked_at: Time::START,
            prefixes: PrefixTable::new(settings.prefix.clone()),
            outbox: Outbox::default(),
            sharing: settings.sharing.clone().map(ShareTable::new),
            sent_work: SentWorkTable::default(),
            promises: PromiseTable::default(),
            upstream_bytes: UpstreamBytes::default(),
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            peers: BTreeMap::new(),
            extension_peers: ExtensionPeers::default(),
            last_peer_index: OWN_DAEMON_INDEX,
            last_send: SendId::default(),
            ready: None,
            shutdown: None,
            last_tick: Time::START,
            settings,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: DispatchEvent, actions: &mut Vec<DispatchAction>) {
        let mut out = Out { now, actions };
        match event {
            DispatchEvent::HeadArrived(call) => self.on_head_arrived(&mut out, &call),
            DispatchEvent::Arrived(call) => self.on_arrived(&mut out, *call),
            DispatchEvent::MemoryRefused(refusal) => self.on_memory_refused(&mut out, refusal),
            DispatchEvent::FirstByte { call, send } => self.on_first_byte(&mut out, call, send),
            DispatchEvent::LongestGap { call, send, gap_ms } => {
                self.on_longest_gap(call, send, gap_ms);
            }
            DispatchEvent::Ended { call, send, end } => self.on_ended(&mut out, call, send, end),
            DispatchEvent::Stalled {
                call,
                send,
                silent_ms,
            } => self.on_stalled(&mut out, call, send, silent_ms),
            DispatchEvent::Silent { call, send } => self.on_silent(&mut out, call, send),
            DispatchEvent::UpstreamLeaving(notice) => self.on_leaving_notice(&mut out, notice),
            DispatchEvent::UpstreamRateLimit(notice) => self.on_rate_notice(&mut out, notice),
            DispatchEvent::CallerLeft { call } => self.on_caller_left(&mut out, call),
            DispatchEvent::OrderEnded { ticket, kind, end } => {
                self.on_order_ended(&mut out, &ticket, kind, end);
            }
            DispatchEvent::UpstreamChecked { upstream, attempts } => {
                self.on_upstream_checked(&mut out, &upstream, &attempts)
            }
            DispatchEvent::PathsTried(report) => self.on_paths_tried(&mut out, report),
            DispatchEvent::Relayed { call, send, relay } => {
                self.on_relayed(&mut out, call, send, relay)
            }
            DispatchEvent::RelayRequested {
                relay,
                peer,
                upstream,
            } => self.on_relay_requested(&mut out, relay, peer, &upstream),
            DispatchEvent::RelayEnded { relay } => self.on_relay_ended(relay),
            DispatchEvent::StoreAnswered { topic, answer } => {
                self.on_store_answer(&mut out, topic, answer)
            }
            DispatchEvent::DaemonsListed { vms, age_ms } => {
                self.roster.on_listed(now, now - age_ms, vms);
            }
            DispatchEvent::PeerUp { vm } => self.on_peer_up(&mut out, vm),
            DispatchEvent::PeerDown { vm } => self.on_peer_down(&mut out, &vm),
            DispatchEvent::PeerMessage { vm, message } => {
                self.on_peer_message(&mut out, &vm, message)
            }
            DispatchEvent::Reload(settings) => self.on_reload(&mut out, *settings),
            DispatchEvent::Stop => self.on_stop(&mut out),
            DispatchEvent::Tick => {}
        }
        self.advance(&mut out);
    }

    /// When the next `Tick` is due.
    pub fn next_wakeup(&self) -> Time {
        let busy = !self.waiting.is_empty() || self.shutdown.is_some();
        let tick_ms = if busy { TICK_MS } else { IDLE_TICK_MS };
        let watches = [self.operators.next_wakeup(), self.upstreams.next_wakeup()];
        let due = self.calls.values().map(OpenCall::give_up_at).min();
        let times = watches.into_iter().chain([
            self.fleet.next_expiry(),
            self.reservations.next_wakeup(),
            self.links.next_wakeup(),
            self.ejection_reports.next_wakeup(),
            self.quarantine.next_wakeup(),
            self.next_survival_check(),
            self.restore.next_wakeup(),
            self.outbox.due_at(),
            self.prefixes.due_at(),
            due,
        ]);
        times.flatten().fold(self.last_tick + tick_ms, Time::min)
    }

    /// Number of calls that are not finished.
    pub fn open_len(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls in the queue.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Number of daemons that report requests to each other: this one and its connected peers.
    pub fn members_len(&self) -> usize {
        self.peers.len() + 1
    }

    /// Number of failure domains to which the own links are lost.
    pub fn lost_domains_len(&self) -> usize {
        self.links.lost_domains().count()
    }

    /// Number of connections that are passed on for peers.
    pub fn relayed_len(&self) -> usize {
        self.relays.relayed_len()
    }

    /// Version of the catalog in use.
    pub fn catalog_version(&self) -> Option<CatalogVersion> {
        self.catalog.as_ref().map(|catalog| catalog.version())
    }

    /// The known upstreams.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The requests in flight of all daemons, as far as this one knows.
    pub const fn in_flight(&self) -> &InFlightTable {
        &self.in_flight
    }

    /// Number of daemons that bounds over all of them are divided by.
    pub fn sharing_daemons_len(&self) -> usize {
        self.roster.len()
    }

    /// Share of the daemons that this one hears, itself included. The others may still send.
    pub(super) fn heard_share_ratio(&self) -> f64 {
        (self.members_len() as f64 / self.roster.len() as f64).min(1.0)
    }

    /// Position of the store up to which every change of a topic is known.
    pub fn store_position(&self, topic: Topic) -> Option<StorePosition> {
        match topic {
            Topic::Operators => self.operators.position(),
            Topic::Upstreams => self.upstreams.position(),
        }
    }

    /// Time since the daemon's knowledge of operators' writes was current.
    pub fn knowledge_ms(&self, now: Time) -> Option<Millis> {
        self.operators
            .fresh_at()
            .map(|fresh_at| now.since(fresh_at))
    }

    /// Whether keys may be accepted: knowledge of revocations is not older than the key lease.
    pub(super) fn keys_are_fresh(&self, now: Time) -> bool {
        let lease_ms = self.settings.key_lease_ms;
        self.knowledge_ms(now)
            .is_some_and(|age_ms| age_ms <= lease_ms)
    }

    fn advance(&mut self, out: &mut Out<'_>) {
        self.last_tick = out.now;
        self.expire_missing_upstreams(out);
        self.release_held_domains(out);
        self.request_freshness(out);
        for watch in [&mut self.operators, &mut self.upstreams] {
            if let Some(call) = watch.poll(out.now) {
                out.act(DispatchAction::ReadStore(call));
            }
        }
        self.end_overdue(out);
        self.progress_reservations(out);
        self.progress_links(out);
        self.progress_ejection_reports(out);
        self.progress_quarantine(out);
        self.place_waiting(out);
        self.schedule_speed_report(out.now);
        self.report_upstream_bytes(out);
        self.report_prefixes(out, false);
        self.progress_outbox(out);
        self.progress_shutdown(out);
        self.update_ready(out);
    }

    fn on_reload(&mut self, out: &mut Out<'_>, settings: DispatchSettings) {
        self.budget.set_limits(
            settings.retry_percent,
            settings.retry_allowance_requests,
            settings.retry_window_ms,
        );
        self.speeds.set_settings(settings.speeds);
        self.operators.update_settings(settings.operators);
        self.upstreams.update_settings(settings.upstreams);
        self.update_sharing(settings.sharing.clone());
        self.prefixes.set_settings(settings.prefix.clone());
        let changed = self.settings != settings;
        self.settings = settings;
        out.log(DispatchRecord::Reloaded { changed });
    }

    /// Removes a call's transmission, if any, from the in-flight tables of this daemon and its peers,
    /// and releases the call's reservations.
    pub(super) fn end_transmission(
        &mut self,
        out: &mut Out<'_>,
        call: CallId,
        send: Option<SendId>,
    ) {
        self.release(out, call);
        let Some(send) = send else { return };
        self.settle_sent_work(out.now, send);
        self.upstream_bytes.table.on_ended(out.now, send);
        self.record_prefix_end(out.now, send);
        if self.in_flight.end(out.now, InFlightId::own(send)) {
            self.notify_batched(out.now, DispatchMessage::Ended(send));
        }
    }
}
