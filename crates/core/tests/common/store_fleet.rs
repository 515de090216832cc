//! Daemons that read a store, pass on what they read and report it, in virtual time. The store keeps every write, so
//! that what a daemon knows, and what it tells its peers, can be compared with the truth at any position.

#![allow(dead_code, reason = "each test file uses a part")]

use super::dispatch::{batch_at, catalog, id, ms, position_in, upstream, PLAIN};
use persimmon_core::{
    catalog::RawCatalog,
    dispatch::{
        DispatchAction, DispatchEvent, DispatchMessage, DispatchSettings, Dispatcher,
        RawDispatchSettings,
    },
    fleet::UpstreamRecord,
    ids::{CatalogVersion, FailureDomain, UpstreamId, VmId},
    units::Time,
    watch::{Batch, Change, StoreError, StorePosition, Topic, WatchCall},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const STEP_MS: u64 = 5;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Numbers of the upstreams that register, turn to draining and leave.
const UPSTREAMS: [u16; 4] = [101, 102, 103, 104];

/// Time from the end of a process to the start of the next one on its VM.
const RESTART_MS: u64 = 300;

/// Time until a peer notices that a process has ended without a word.
const SILENCE_MS: u64 = 1_000;

/// Time from the start of a process until its links are up.
const CONNECT_MS: u64 = 100;

/// Time after which troubles have an end, and all daemons know all writes.
pub(crate) const CALM_MS: u64 = 5_000;

/// Something that happens to the store, to a daemon or to what they send.
#[derive(Clone, Debug)]
pub(crate) enum Trouble {
    /// Operators write catalogs in quick succession.
    Catalogs {
        len: u64,
        gap_ms: u64,
    },
    /// Operators take a failure domain out of service, or return it.
    Domain(usize),
    /// An upstream writes its entry: a new one, one that drains, or none any more.
    Upstream(usize),
    /// A row is written among those of operators that daemons don't read.
    OtherRow,
    /// The store gives at most so many rows in an answer.
    AnswersMax {
        rows_len: usize,
    },
    /// The store comes back from a copy without its last writes.
    Restore {
        lost_len: usize,
    },
    /// The store forgets its history.
    Compact,
    /// The store refuses all calls.
    StoreDown {
        span_ms: u64,
    },
    /// The store can't be reached from a VM.
    CutFromStore {
        vm: usize,
        span_ms: u64,
    },
    /// Answers of the store to a VM are late.
    LateAnswers {
        vm: usize,
        late_ms: u64,
        span_ms: u64,
    },
    /// Messages from one VM to another are late, in their order.
    LateMessages {
        from: usize,
        to: usize,
        late_ms: u64,
        span_ms: u64,
    },
    Pause {
        vm: usize,
        span_ms: u64,
    },
    Kill(usize),
    /// A VM is cut off from all others.
    CutFromPeers {
        vm: usize,
        span_ms: u64,
    },
    /// A new VM joins.
    Join,
}

#[derive(Clone, Debug)]
enum Written {
    Catalog(u64),
    Domain(&'static str, bool),
    Upstream(Box<UpstreamRecord>),
    UpstreamRemoved(UpstreamId),
    /// A row of operators that means nothing to daemons.
    Other,
}

impl Written {
    const fn topic(&self) -> Topic {
        match self {
            Self::Catalog(_) | Self::Domain(..) | Self::Other => Topic::Operators,
            Self::Upstream(_) | Self::UpstreamRemoved(_) => Topic::Upstreams,
        }
    }

    fn change(&self) -> Option<Change> {
        Some(match self {
            Self::Catalog(version) => Change::Catalog(Box::new(written_catalog(*version))),
            Self::Domain(domain, true) => Change::DomainWithdrawn(id(domain)),
            Self::Domain(domain, false) => Change::DomainReturned(id(domain)),
            Self::Upstream(record) => Change::Upstream(record.clone()),
            Self::UpstreamRemoved(upstream) => Change::UpstreamRemoved(upstream.clone()),
            Self::Other => return None,
        })
    }
}

/// Odd catalogs have no key.
fn written_catalog(version: u64) -> RawCatalog {
    let mut raw = catalog(version);
    if version % 2 == 1 {
        raw.keys = Some(Vec::new());
    }
    raw
}

#[derive(Clone, Debug)]
struct Write {
    version: u64,
    at_ms: u64,
    written: Written,
}

/// The state of the store at a position.
#[derive(Debug, Default, PartialEq)]
struct Truth {
    catalog: u64,
    withdrawn: BTreeSet<FailureDomain>,
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
}

/// The writes of each era of the store. An era begins with those that the copy had.
struct Store {
    eras: Vec<Vec<Write>>,
    restored_at_ms: Vec<u64>,
    history_from: u64,
    /// Most rows in an answer with changes.
    answer_max_len: usize,
    /// Calls that were answered.
    calls_count: u64,
}

impl Store {
    fn writes(&self) -> &[Write] {
        self.eras.last().unwrap()
    }

    fn version(&self) -> u64 {
        self.writes().last().map_or(0, |write| write.version)
    }

    fn era(&self) -> u64 {
        self.eras.len() as u64 - 1
    }

    fn truth_at(&self, position: StorePosition) -> Truth {
        let mut truth = Truth::default();
        let writes = &self.eras[position.era.get() as usize];
        let known = writes.iter();
        for write in known.filter(|write| write.version <= position.version.get()) {
            match &write.written {
                Written::Catalog(version) => truth.catalog = *version,
                Written::Domain(domain, true) => {
                    truth.withdrawn.insert(id(domain));
                }
                Written::Domain(domain, false) => {
                    truth.withdrawn.remove(&id::<FailureDomain>(domain));
                }
                Written::Upstream(record) => {
                    truth
                        .upstreams
                        .insert(record.id.clone(), (**record).clone());
                }
                Written::UpstreamRemoved(upstream) => {
                    truth.upstreams.remove(upstream);
                }
                Written::Other => {}
            }
        }
        truth
    }

    /// Whether an upstream was removed before a restore, which the copy may not know.
    fn was_removed(&self, position: StorePosition, upstream: &UpstreamId) -> bool {
        let before = &self.eras[..position.era.get() as usize];
        let mut writes = before.iter().flatten();
        writes.any(|write| matches!(&write.written, Written::UpstreamRemoved(id) if id == upstream))
    }

    /// The first change of operators after a position up to another one. A row that means nothing is none.
    fn change_between(&self, after: StorePosition, position: StorePosition) -> Option<u64> {
        let writes = &self.eras[position.era.get() as usize];
        let mut changes = writes
            .iter()
            .filter(|write| write.written.topic() == Topic::Operators)
            .filter(|write| write.written.change().is_some())
            .map(|write| write.version);
        changes.find(|version| {
            let at = position_in(position.era.get(), *version);
            after < at && at <= position
        })
    }

    /// The answer to a call; none as long as the call is held. Changes may be the first of many, and the position may be
    /// any from that of the last row up to the next one.
    fn answer(
        &self,
        call: &WatchCall,
        is_over: bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<Result<Batch, StoreError>> {
        let position = position_in(self.era(), self.version());
        let of_topic = |write: &&Write| write.written.topic() == call.topic;
        let Some(after) = call.after.map(|after| after.version.get()) else {
            let truth = self.truth_at(position);
            let upstreams = truth.upstreams.into_values();
            let mut changes: Vec<_> = match call.topic {
                Topic::Operators => truth
                    .withdrawn
                    .into_iter()
                    .map(Change::DomainWithdrawn)
                    .collect(),
                Topic::Upstreams => upstreams
                    .map(|record| Change::Upstream(Box::new(record)))
                    .collect(),
            };
            if call.topic == Topic::Operators {
                changes.push(Change::Catalog(Box::new(written_catalog(truth.catalog))));
            }
            return Some(Ok(batch_at(position, true, changes)));
        };
        if after < self.history_from {
            return Some(Err(StoreError::HistoryGone));
        }
        let later = self.writes().iter().filter(|write| write.version > after);
        let later: Vec<_> = later.filter(of_topic).collect();
        let rows = &later[..later.len().min(self.answer_max_len)];
        let position = rows.last().map_or(position, |last| {
            let next = later.get(rows.len()).map(|next| next.version);
            let up_to = next.unwrap_or(self.version() + 1);
            position_in(self.era(), rng.random_range(last.version..up_to))
        });
        let changes = rows.iter().filter_map(|write| write.written.change());
        (is_over || !rows.is_empty()).then_some(Ok(Batch {
            position,
            after: call.after,
            has_rows: !rows.is_empty(),
            changes: changes.collect(),
        }))
    }
}

/// A call to the store, and what becomes of it.
struct StoreCall {
    vm: usize,
    process: u64,
    call: WatchCall,
    arrives_ms: u64,
    held_until_ms: u64,
    fails_ms: u64,
}

struct Vm {
    name: VmId,
    dispatcher: Option<Dispatcher>,
    process: u64,
    started_ms: u64,
    paused_until_ms: u64,
    cut_until_ms: u64,
    store_cut_until_ms: u64,
    late_answers: (u64, u64),
    inbox: BTreeMap<(u64, u64), DispatchEvent>,
    linked: BTreeSet<usize>,
}

pub(crate) struct StoreFleet {
    vms: Vec<Vm>,
    store: Store,
    calls: Vec<StoreCall>,
    rng: ChaCha8Rng,
    pub(crate) now_ms: u64,
    events_count: u64,
    down_until_ms: u64,
    due_catalogs_ms: Vec<u64>,
    late_messages: BTreeMap<(usize, usize), (u64, u64)>,
    /// Time at which the last message on a link arrives.
    arrivals: BTreeMap<(usize, usize), u64>,
    catalogs_count: u64,
    writes_count: u64,
    /// What was untrue, in the order in which it was seen.
    pub(crate) untrue: Vec<String>,
}

impl StoreFleet {
    /// Daemons that have read the store and are linked to each other.
    pub(crate) fn new(seed: u64, daemons_len: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let answer_max_len = [1, 2, 5, 500][rng.random_range(0..4)];
        let mut fleet = Self {
            vms: Vec::new(),
            store: Store {
                eras: vec![Vec::new()],
                restored_at_ms: vec![0],
                history_from: 0,
                answer_max_len,
                calls_count: 0,
            },
            calls: Vec::new(),
            rng,
            now_ms: 0,
            events_count: 0,
            down_until_ms: 0,
            due_catalogs_ms: Vec::new(),
            late_messages: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            catalogs_count: 0,
            writes_count: 0,
            untrue: Vec::new(),
        };
        fleet.write_catalog();
        for index in 0..UPSTREAMS.len() {
            fleet.write_upstream(index);
        }
        (0..daemons_len).for_each(|_| fleet.join());
        fleet.pass(3_000);
        fleet
    }

    pub(crate) fn apply(&mut self, trouble: &Trouble) {
        let now_ms = self.now_ms;
        let vms_len = self.vms.len();
        match *trouble {
            Trouble::Catalogs { len, gap_ms } => {
                let times = (0..len).map(|index| now_ms + 1 + index * gap_ms);
                self.due_catalogs_ms.extend(times);
            }
            Trouble::Domain(index) => {
                let domain = DOMAINS[index % DOMAINS.len()];
                let truth = self.store.truth_at(self.latest());
                let is_out = truth.withdrawn.contains(&id::<FailureDomain>(domain));
                self.write(Written::Domain(domain, !is_out));
            }
            Trouble::Upstream(index) => self.write_upstream(index % UPSTREAMS.len()),
            Trouble::OtherRow => self.write(Written::Other),
            Trouble::AnswersMax { rows_len } => self.store.answer_max_len = rows_len,
            Trouble::Restore { lost_len } => {
                let writes = self.store.writes();
                // The first writes are those of the start.
                let kept_len = writes.len().saturating_sub(lost_len).max(5);
                let copy = writes[..kept_len.min(writes.len())].to_vec();
                self.store.eras.push(copy);
                self.store.restored_at_ms.push(now_ms);
                self.store.history_from = 0;
            }
            Trouble::Compact => self.store.history_from = self.store.version(),
            Trouble::StoreDown { span_ms } => self.down_until_ms = now_ms + span_ms,
            Trouble::CutFromStore { vm, span_ms } => {
                self.vms[vm % vms_len].store_cut_until_ms = now_ms + span_ms;
            }
            Trouble::LateAnswers {
                vm,
                late_ms,
                span_ms,
            } => {
                self.vms[vm % vms_len].late_answers = (now_ms + span_ms, late_ms);
            }
            Trouble::LateMessages {
                from,
                to,
                late_ms,
                span_ms,
            } => {
                let link = (from % vms_len, to % vms_len);
                self.late_messages.insert(link, (now_ms + span_ms, late_ms));
            }
            Trouble::Pause { vm, span_ms } => {
                self.vms[vm % vms_len].paused_until_ms = now_ms + span_ms;
            }
            Trouble::Kill(vm) => self.kill(vm % vms_len),
            Trouble::CutFromPeers { vm, span_ms } => {
                self.vms[vm % vms_len].cut_until_ms = now_ms + span_ms;
            }
            Trouble::Join => self.join(),
        }
    }

    fn latest(&self) -> StorePosition {
        position_in(self.store.era(), self.store.version())
    }

    fn write(&mut self, written: Written) {
        // Writes of other tables use versions, too.
        let version = self.store.version() + self.rng.random_range(1..3);
        let at_ms = self.now_ms;
        let write = Write {
            version,
            at_ms,
            written,
        };
        self.store.eras.last_mut().unwrap().push(write);
    }

    fn write_catalog(&mut self) {
        self.catalogs_count += 1;
        self.write(Written::Catalog(self.catalogs_count));
    }

    fn write_upstream(&mut self, index: usize) {
        self.writes_count += 1;
        let mut record = upstream(PLAIN, UPSTREAMS[index]);
        record.writes_count = self.writes_count;
        let truth = self.store.truth_at(self.latest());
        let written = match truth.upstreams.get(&record.id) {
            Some(known) if known.draining => Written::UpstreamRemoved(record.id),
            known => {
                record.draining = known.is_some();
                // Each start of an upstream is a later one.
                record.started_unix_ms =
                    known.map_or(self.writes_count, |known| known.started_unix_ms);
                Written::Upstream(Box::new(record))
            }
        };
        self.write(written);
    }

    fn join(&mut self) {
        self.vms.push(Vm {
            name: id(&format!("vm-{:02}", self.vms.len())),
            dispatcher: None,
            process: 0,
            started_ms: self.now_ms,
            paused_until_ms: 0,
            cut_until_ms: 0,
            store_cut_until_ms: 0,
            late_answers: (0, 0),
            inbox: BTreeMap::new(),
            linked: BTreeSet::new(),
        });
    }

    fn kill(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.dispatcher = None;
        vm.paused_until_ms = 0;
        vm.inbox.clear();
        vm.started_ms = self.now_ms + RESTART_MS;
        for peer in std::mem::take(&mut vm.linked) {
            self.unlink(peer, index, SILENCE_MS);
        }
    }

    fn unlink(&mut self, peer: usize, lost: usize, after_ms: u64) {
        self.vms[peer].linked.remove(&lost);
        let vm = self.vms[lost].name.clone();
        self.post(peer, after_ms, DispatchEvent::PeerDown { vm });
    }

    fn post(&mut self, index: usize, after_ms: u64, event: DispatchEvent) {
        self.events_count += 1;
        let key = (self.now_ms + after_ms, self.events_count);
        self.vms[index].inbox.insert(key, event);
    }

    fn can_link(&self, a: usize, b: usize) -> bool {
        let is_up = |index: usize| {
            let vm = &self.vms[index];
            let is_connected = self.now_ms >= vm.started_ms + CONNECT_MS;
            vm.dispatcher.is_some() && is_connected && self.now_ms >= vm.cut_until_ms
        };
        a != b && is_up(a) && is_up(b)
    }

    fn update_links(&mut self) {
        for a in 0..self.vms.len() {
            for b in 0..a {
                let linked = self.vms[a].linked.contains(&b);
                if self.can_link(a, b) == linked {
                    continue;
                }
                for (own, peer) in [(a, b), (b, a)] {
                    if linked {
                        self.unlink(own, peer, SILENCE_MS);
                    } else {
                        self.vms[own].linked.insert(peer);
                        let vm = self.vms[peer].name.clone();
                        // The connections of a daemon open one after the other.
                        let after_ms = self.rng.random_range(1..60);
                        self.arrivals.insert((peer, own), self.now_ms + after_ms);
                        self.post(own, after_ms, DispatchEvent::PeerUp { vm });
                    }
                }
            }
        }
    }

    pub(crate) fn pass(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.start_due();
            self.update_links();
            let now_ms = self.now_ms;
            let due = |at_ms: &&u64| **at_ms <= now_ms;
            let due_len = self.due_catalogs_ms.iter().filter(due).count();
            self.due_catalogs_ms.retain(|at_ms| *at_ms > now_ms);
            (0..due_len).for_each(|_| self.write_catalog());
            self.answer_calls();
            for index in 0..self.vms.len() {
                if self.vms[index].paused_until_ms <= self.now_ms {
                    self.run(index);
                }
            }
        }
    }

    /// Number of calls that the store has answered.
    pub(crate) const fn store_calls_count(&self) -> u64 {
        self.store.calls_count
    }

    /// The oldest knowledge of operators' writes that a daemon has.
    pub(crate) fn oldest_knowledge_ms(&self) -> Option<u64> {
        let ages = self.vms.iter().map(|vm| {
            let own_now = Time::START + ms(self.now_ms - vm.started_ms);
            let known_ms = vm.dispatcher.as_ref()?.knowledge_ms(own_now)?;
            Some(known_ms.get())
        });
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Lets all troubles end, and checks that all daemons then know everything.
    pub(crate) fn settle(&mut self) {
        self.down_until_ms = 0;
        self.late_messages.clear();
        for vm in &mut self.vms {
            vm.paused_until_ms = 0;
            vm.cut_until_ms = 0;
            vm.store_cut_until_ms = 0;
            vm.late_answers = (0, 0);
        }
        self.pass(CALM_MS);
        let latest = self.latest();
        let truth = self.store.truth_at(latest);
        for vm in &self.vms {
            let used = vm.dispatcher.as_ref().and_then(Dispatcher::catalog_version);
            if used < Some(CatalogVersion::new(truth.catalog)) {
                let note = format!("{} uses {used:?} of {}", vm.name, truth.catalog);
                self.untrue.push(note);
            }
        }
    }

    fn start_due(&mut self) {
        for index in 0..self.vms.len() {
            if self.vms[index].dispatcher.is_some() || self.now_ms < self.vms[index].started_ms {
                continue;
            }
            let settings = DispatchSettings::try_from(RawDispatchSettings::default()).unwrap();
            let vms = self.vms.iter().map(|vm| vm.name.clone()).collect();
            let vm = &mut self.vms[index];
            vm.dispatcher = Some(Dispatcher::new(settings, vm.name.clone(), id("a")));
            vm.process += 1;
            vm.started_ms = self.now_ms;
            let age_ms = ms(0);
            self.post(index, 0, DispatchEvent::DaemonsListed { vms, age_ms });
        }
    }

    /// Handles what has come to a daemon.
    fn run(&mut self, index: usize) {
        loop {
            let now_ms = self.now_ms;
            let vm = &mut self.vms[index];
            let Some(dispatcher) = &mut vm.dispatcher else {
                return;
            };
            let now = Time::START + ms(now_ms - vm.started_ms);
            let is_due = vm
                .inbox
                .first_key_value()
                .is_some_and(|((at_ms, _), _)| *at_ms <= now_ms);
            let event = is_due.then(|| vm.inbox.pop_first()).flatten();
            if event.is_none() && dispatcher.next_wakeup() > now {
                return;
            }
            let is_last = event.is_none();
            let event = event.map_or(DispatchEvent::Tick, |(_, event)| event);
            let mut actions = Vec::new();
            dispatcher.handle(now, event, &mut actions);
            self.check(index);
            for action in actions {
                match action {
                    DispatchAction::Notify { to, message } => self.notify(index, to, message),
                    DispatchAction::ReadStore(call) => self.read(index, call),
                    _ => {}
                }
            }
            if is_last {
                return;
            }
        }
    }

    fn read(&mut self, vm: usize, call: WatchCall) {
        let arrives_ms = self.now_ms + self.rng.random_range(1..10);
        self.calls.push(StoreCall {
            vm,
            process: self.vms[vm].process,
            call,
            arrives_ms,
            held_until_ms: arrives_ms + call.wait_ms.get(),
            fails_ms: self.now_ms + call.timeout_ms.get(),
        });
    }

    /// Answers the calls for which the store has something, or that it has held for long enough. An answer that
    /// comes later than the daemon waits is lost.
    fn answer_calls(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            let vm = &self.vms[call.vm];
            if vm.process != call.process || vm.dispatcher.is_none() {
                continue;
            }
            let is_lost = self.now_ms < vm.store_cut_until_ms;
            let answer = if self.now_ms < call.arrives_ms || is_lost {
                None
            } else if self.now_ms < self.down_until_ms {
                Some(Err(StoreError::Refused { status: 503 }))
            } else {
                let is_over = self.now_ms >= call.held_until_ms;
                let answer = self.store.answer(&call.call, is_over, &mut self.rng);
                self.store.calls_count += u64::from(answer.is_some());
                answer
            };
            let (until_ms, late_ms) = vm.late_answers;
            let late_ms = if self.now_ms < until_ms { late_ms } else { 0 };
            let comes_ms = self.now_ms + self.rng.random_range(1..10) + late_ms;
            let (comes_ms, answer) = match answer {
                Some(answer) if comes_ms < call.fails_ms => (comes_ms, answer),
                None if self.now_ms < call.fails_ms => {
                    self.calls.push(call);
                    continue;
                }
                _ => {
                    let reason = "late".to_owned();
                    (
                        call.fails_ms.max(self.now_ms),
                        Err(StoreError::Lost { reason }),
                    )
                }
            };
            let event = DispatchEvent::StoreAnswered {
                topic: call.call.topic,
                answer: answer.map(Box::new),
            };
            self.post(call.vm, comes_ms - self.now_ms, event);
        }
    }

    fn notify(&mut self, index: usize, to: Option<VmId>, message: DispatchMessage) {
        if let DispatchMessage::FreshnessReport {
            changed, position, ..
        } = &message
        {
            if let Some(version) = self.store.change_between(*changed, *position) {
                let vm = &self.vms[index].name;
                self.untrue.push(format!(
                    "{} ms: {vm} reports no change after {changed} up to {position}, but there is {version}",
                    self.now_ms
                ));
            }
        }
        let vm = self.vms[index].name.clone();
        let peers: Vec<_> = self.vms[index].linked.iter().copied().collect();
        for peer in peers {
            if to.as_ref().is_some_and(|to| *to != self.vms[peer].name) {
                continue;
            }
            let late = self.late_messages.get(&(index, peer));
            let late_ms = late.map_or(
                0,
                |(until_ms, late_ms)| {
                    if self.now_ms < *until_ms {
                        *late_ms
                    } else {
                        0
                    }
                },
            );
            let arrival = self.arrivals.entry((index, peer)).or_default();
            let way_ms = self.rng.random_range(1..5) + late_ms;
            *arrival = (*arrival).max(self.now_ms + way_ms);
            let after_ms = *arrival - self.now_ms;
            let event = DispatchEvent::PeerMessage {
                vm: vm.clone(),
                message: message.clone(),
            };
            self.post(peer, after_ms, event);
        }
    }

    /// Compares what a daemon knows with the store.
    fn check(&mut self, index: usize) {
        let vm = &self.vms[index];
        let Some(dispatcher) = &vm.dispatcher else {
            return;
        };
        let mut untrue = Vec::new();
        if let Some(position) = dispatcher.store_position(Topic::Operators) {
            let truth = self.store.truth_at(position);
            let used = dispatcher.catalog_version().map_or(0, CatalogVersion::get);
            let withdrawn = dispatcher.fleet().withdrawn_domains();
            // What a restore lost is kept until operators write it again.
            let is_first_era = position.era.get() == 0;
            let is_same = used == truth.catalog && *withdrawn == truth.withdrawn;
            let is_kept = used >= truth.catalog && withdrawn.is_superset(&truth.withdrawn);
            if !is_kept || (is_first_era && !is_same) {
                untrue.push(format!(
                    "knows all up to {position}: catalog {used} and {withdrawn:?} instead of {} and {:?}",
                    truth.catalog, truth.withdrawn
                ));
            }
            let own_now = Time::START + ms(self.now_ms - vm.started_ms);
            let known_ms = dispatcher.knowledge_ms(own_now);
            let fresh_ms = known_ms.map(|age_ms| self.now_ms.saturating_sub(age_ms.get()));
            let missed = fresh_ms.and_then(|fresh_ms| self.missed(position, fresh_ms));
            if let Some(missed) = missed {
                untrue.push(format!("knows all up to {position}, {missed}"));
            }
        }
        if let Some(position) = dispatcher.store_position(Topic::Upstreams) {
            let truth = self.store.truth_at(position);
            for (upstream, record) in &truth.upstreams {
                let known = dispatcher.fleet().get(upstream);
                let writes_count = known.map_or(0, |known| known.record.writes_count);
                let is_removed = known.is_none() && self.store.was_removed(position, upstream);
                if writes_count < record.writes_count && !is_removed {
                    untrue.push(format!(
                        "knows all up to {position}: write {writes_count} instead of {} of {upstream}",
                        record.writes_count
                    ));
                }
            }
        }
        let name = vm.name.clone();
        let untrue = untrue.into_iter();
        self.untrue
            .extend(untrue.map(|what| format!("{} ms: {name} {what}", self.now_ms)));
    }

    /// A write that was acknowledged before a daemon's knowledge was current, and that is after what it knows.
    fn missed(&self, position: StorePosition, fresh_ms: u64) -> Option<String> {
        let era = position.era.get() as usize;
        let restored = self.store.restored_at_ms[era + 1..].iter();
        if restored.clone().any(|at_ms| *at_ms < fresh_ms) {
            return Some(format!(
                "current at {fresh_ms} ms, but the store was restored"
            ));
        }
        let mut writes = self.store.eras[era].iter();
        let missed = writes.find(|write| {
            let is_operators = write.written.topic() == Topic::Operators;
            is_operators && write.version > position.version.get() && write.at_ms < fresh_ms
        })?;
        Some(format!(
            "current at {fresh_ms} ms, but {missed:?} is missing"
        ))
    }
}
