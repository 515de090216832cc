//! Memberships of many daemons on a virtual network that counts messages and encoded bytes.

use persimmon_core::{
    config::Configuration,
    ids::{FailureDomain, Incarnation, VmId},
    membership::{LocalState, Membership, MembershipSettings},
    message::{CapacitySummary, Member, ModelCapacity, PeerMessage},
    platform::{VmRecord, VmState},
    units::{KvBytes, Millis, Time, Tokens},
    Action, Context,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

/// Overhead per packet: IPv4 header, UDP header, QUIC short header, authentication tag, frame
/// header, and half of an acknowledgement packet.
pub(crate) const PACKET_OVERHEAD_BYTES: u64 = 20 + 8 + 13 + 16 + 3 + 30;

/// Models that each owner has loaded.
const MODELS: [&str; 3] = ["cell-advisor@7", "cell-advisor@8", "asistan@12"];

/// One-way network delay.
const LATENCY: Millis = Millis::new(1);

/// Maximum time between two ticks of a daemon.
const MAX_TICK_GAP: Millis = Millis::new(200);

/// Minimum time between two ticks of a daemon.
const MIN_TICK_GAP: Millis = Millis::new(5);

/// The membership of a daemon.
pub(crate) struct Node {
    me: Member,
    membership: Membership,
    rng: ChaCha8Rng,
    up: bool,
    due: Time,
}

/// Totals since the start of a measurement.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) messages_count: u64,
    pub(crate) sent_bytes: u64,
    pub(crate) cpu_secs: f64,
}

/// Memberships of many daemons on a virtual network.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) counts: Counts,
    pub(crate) loss_ratio: f64,
    nodes: BTreeMap<VmId, Node>,
    ticks: BTreeSet<(Time, VmId)>,
    queue: BTreeMap<(Time, u64), (VmId, PeerMessage)>,
    last_sequence_index: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates `vms` daemons in each of `domains` failure domains, with all of them as seeds.
    pub(crate) fn new(domains: usize, vms: usize) -> Self {
        let mut members = Vec::new();
        for domain in 0..domains {
            for n in 0..vms {
                members.push(member(domain, n));
            }
        }
        let seeds: Vec<_> = members.iter().map(record).collect();
        let node = |(n, me): (usize, Member)| {
            let settings = MembershipSettings::default();
            let node = Node {
                membership: Membership::new(me.clone(), settings, seeds.clone()),
                me: me.clone(),
                rng: ChaCha8Rng::seed_from_u64(n as u64),
                up: true,
                due: Time::START,
            };
            (me.vm, node)
        };
        Self {
            now: Time::START,
            counts: Counts::default(),
            loss_ratio: 0.0,
            ticks: members
                .iter()
                .map(|m| (Time::START, m.vm.clone()))
                .collect(),
            nodes: members.into_iter().enumerate().map(node).collect(),
            queue: BTreeMap::new(),
            last_sequence_index: 0,
            rng: ChaCha8Rng::seed_from_u64(99),
        }
    }

    /// Advances the virtual time by `span`.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let tick = self.ticks.first().map_or(end, |(time, _)| *time);
            let message = self.queue.first_key_value().map(|((time, _), _)| *time);
            let next = message.map_or(tick, |time| time.min(tick));
            if next >= end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if message.is_some_and(|time| time <= tick) {
                let (_, (to, message)) = self.queue.pop_first().expect("a message");
                self.handle(&to, Some(message));
            } else {
                let (_, vm) = self.ticks.pop_first().expect("a tick");
                self.handle(&vm, None);
            }
        }
    }

    /// Stops a daemon without any announcement.
    pub(crate) fn crash(&mut self, domain: usize, n: usize) {
        let vm = member(domain, n).vm;
        self.nodes.get_mut(&vm).expect("a daemon").up = false;
    }

    /// Returns the number of live daemons of a failure domain whose view differs from the live
    /// members.
    pub(crate) fn inconsistent_views(&self, domain: usize) -> usize {
        let name = domain_name(domain);
        let here = |node: &&Node| node.up && node.me.domain == name;
        let alive: BTreeSet<_> = self
            .nodes
            .values()
            .filter(here)
            .map(|node| &node.me.vm)
            .collect();
        let inconsistent = |node: &&Node| {
            let seen = node.membership.live_in(&name);
            seen.iter().map(|m| &m.vm).collect::<BTreeSet<_>>() != alive
        };
        self.nodes
            .values()
            .filter(here)
            .filter(inconsistent)
            .count()
    }

    /// Returns the lowest number of members of another failure domain that any live daemon knows.
    pub(crate) fn min_remote_members(&self, domains: usize) -> usize {
        let names: Vec<_> = (0..domains).map(domain_name).collect();
        let live = self.nodes.values().filter(|node| node.up);
        let known = live.flat_map(|node| {
            let remote = names.iter().filter(|name| **name != node.me.domain);
            remote.map(|name| node.membership.live_in(name).len())
        });
        known.min().unwrap_or_default()
    }

    /// Returns the maximum and the mean age, in milliseconds, of the summaries that the daemons of
    /// a failure domain have of each other, and the number of missing summaries.
    pub(crate) fn summary_ages(&self, domain: usize) -> (u64, u64, usize) {
        let name = domain_name(domain);
        let here = |node: &&Node| node.up && node.me.domain == name;
        let (mut ages, mut missing) = (Vec::new(), 0);
        for node in self.nodes.values().filter(here) {
            for peer in node.membership.live_in(&name) {
                if peer.vm == node.me.vm {
                    continue;
                }
                let summary = node.membership.summary_of(&peer.vm);
                let stamp = summary.and_then(|s| s.services.first().map(|(_, free)| *free));
                match stamp {
                    Some(stamp) => ages.push(stamp_of(self.now).saturating_sub(stamp) * 100),
                    None => missing += 1,
                }
            }
        }
        let mean = ages.iter().map(|a| u64::from(*a)).sum::<u64>() / ages.len().max(1) as u64;
        let oldest = ages.into_iter().max().unwrap_or_default();
        (u64::from(oldest), mean, missing)
    }

    fn handle(&mut self, vm: &VmId, message: Option<PeerMessage>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(vm).filter(|node| node.up) else {
            return;
        };
        let local = local_state(now);
        let mut actions = Vec::new();
        let mut last_token = 0;
        let mut ctx = Context {
            now,
            rng: &mut node.rng,
            actions: &mut actions,
            last_token: &mut last_token,
        };
        let start = Instant::now();
        match message {
            Some(PeerMessage::Heartbeat(beat)) => {
                node.membership.on_heartbeat(&mut ctx, *beat, &local);
            }
            Some(_) => {}
            None => {
                node.membership.on_tick(&mut ctx, &local);
            }
        }
        node.membership.take_changes();
        self.counts.cpu_secs += start.elapsed().as_secs_f64();
        self.ticks.remove(&(node.due, vm.clone()));
        let wakeup = node.membership.next_wakeup().unwrap_or(now + MAX_TICK_GAP);
        node.due = wakeup.clamp(now + MIN_TICK_GAP, now + MAX_TICK_GAP);
        self.ticks.insert((node.due, vm.clone()));
        for action in actions {
            if let Action::SendPeer { to, message, .. } = action {
                self.send(to, message);
            }
        }
    }

    fn send(&mut self, to: VmId, message: PeerMessage) {
        let coded = postcard::to_allocvec(&message).expect("a coded message");
        self.counts.messages_count += 1;
        self.counts.sent_bytes += coded.len() as u64 + PACKET_OVERHEAD_BYTES;
        if self.rng.random::<f64>() < self.loss_ratio {
            return;
        }
        self.last_sequence_index += 1;
        let key = (self.now + LATENCY, self.last_sequence_index);
        self.queue.insert(key, (to, message));
    }
}

/// Returns the state of an owner of eight engines with three models. The free count of its service
/// encodes the time, so that receivers can compute the age of the summary.
fn local_state(now: Time) -> LocalState {
    let capacity = ModelCapacity {
        engines: 3,
        free_requests: 17 + (now.as_us() / 50_000 % 40) as u32,
        free_kv_bytes: KvBytes::new(12_345_678_901),
        max_prompt_tokens: Tokens::new(262_144),
        short_wait_ms: Millis::new(90),
        long_wait_ms: Millis::new(2_900),
    };
    let models = MODELS.map(|model| (model.parse().expect("a version"), capacity));
    let service = "orders".parse().expect("a service");
    LocalState {
        summary: CapacitySummary {
            models: models.to_vec(),
            services: vec![(service, stamp_of(now))],
            short_busy_permille: 700,
            long_busy_permille: 90,
        },
        config: CONFIG.with(Arc::clone),
        ..LocalState::default()
    }
}

thread_local! {
    static CONFIG: Arc<Configuration> = Arc::new(config());
}

/// Returns a configuration that contains the models and the service.
fn config() -> Configuration {
    let models = MODELS.map(|model| {
        format!(
            r#""{model}": {{"kv_bytes_per_token": 1, "weights_bytes": 1, "context_tokens": 1}}"#
        )
    });
    let text = format!(
        r#"{{"domains": {{}}, "models": {{{}}}, "services": {{"orders": {{"max_in_flight_requests": 1}}}},
        "upstreams": {{}}, "workspaces": {{}}, "placement": []}}"#,
        models.join(",")
    );
    serde_json::from_str(&text).expect("a configuration")
}

fn stamp_of(now: Time) -> u32 {
    (now.as_us() / 100_000) as u32
}

fn domain_name(domain: usize) -> FailureDomain {
    format!("district-{domain}").parse().expect("a name")
}

fn member(domain: usize, n: usize) -> Member {
    Member {
        vm: format!("district-{domain}-vm-{n:02}")
            .parse()
            .expect("a name"),
        incarnation: Incarnation::new(1_790_000_000_000),
        domain: domain_name(domain),
        peer_address: SocketAddr::from(([10, 1, domain as u8, n as u8], 7_443)),
    }
}

fn record(member: &Member) -> VmRecord {
    VmRecord {
        vm: member.vm.clone(),
        domain: member.domain.clone(),
        peer_address: member.peer_address,
        state: VmState::Live,
    }
}
