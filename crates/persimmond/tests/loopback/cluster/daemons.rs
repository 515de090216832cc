//! Real daemons as threads of the test process, connected by QUIC.

use super::{client, platform::Platform, upstream::Upstream, wait};
use persimmon_core::{
    config::Configuration,
    operator::{Intent, OperatorCommand, OperatorReply},
};
use persimmon_io::{
    peer::KeyPairPem,
    settings::{parse, Settings},
    telemetry::Telemetry,
};
use persimmond::{Daemon, DaemonHandle, Dependencies};
use serde_json::{json, Value};
use std::{net::SocketAddr, path::Path, sync::Arc};

/// Token with which operators authenticate.
pub(crate) const TOKEN: &str = "a-token-for-tests";

/// Lease duration of a grant without a heartbeat.
pub(crate) const LEASE_MS: u64 = 1000;

/// Two daemons as threads, in failure domains `a` and `b`; the upstreams are in `a`.
pub(crate) struct ThreadCluster {
    pub(crate) platform: Platform,
    pub(crate) upstream: Upstream,
    pub(crate) second_upstream: Upstream,
    pub(crate) daemons: Vec<DaemonHandle>,
}

/// Settings of a VM in a failure domain, with short timeouts.
pub(crate) fn settings(vm: &str, domain: &str, seeds: &Value, platform: SocketAddr) -> Value {
    json!({
        "vm": vm,
        "domain": domain,
        "listen": {
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        },
        "seeds": seeds,
        "platform": platform,
        "tls": {"ca_file": "ca.pem", "cert_file": "vm.pem", "key_file": "vm.key"},
        "operator_token": TOKEN,
        "limits": {"body_max_bytes": 4096, "open_max_requests": 64, "body_time_ms": 500,
            "io_time_ms": 500},
        "membership": {"heartbeat_ms": 100, "death_ms": 1000, "relay_ms": 2000},
        "ownership": {"lease_ms": LEASE_MS, "join_window_ms": 300},
        "config": {"poll_ms": 100},
        "grant": {"poll_ms": 100, "cancel_retry_ms": 100, "learning_ms": 500},
    })
}

/// Settings entry of one seed.
pub(crate) fn seed(vm: &str, domain: &str, peers: SocketAddr) -> Value {
    json!({"vm": vm, "domain": domain, "peer_address": peers})
}

/// Configuration with an engine at each address and a service at the first, all in failure domain
/// `a`.
pub(crate) fn configuration(upstreams: &[SocketAddr]) -> Configuration {
    let engine = json!({"engine": {
        "kv_bytes": 1_000_000_000, "prefill_tokens_per_s": 100_000.0,
        "decode_tokens_per_s": 50.0, "max_in_flight_requests": 16, "can_group": false,
    }});
    let entry = |address: SocketAddr, kind: &Value| json!({"address": address, "domain": "a", "kind": kind, "checks_fencing": true});
    let server = entry(upstreams[0], &json!({"service": "orders"}));
    let mut entries = json!({"server-1": server});
    for (index, address) in upstreams.iter().enumerate() {
        entries[format!("engine-{index}")] = entry(*address, &engine);
    }
    let value = json!({
        "domains": {"a": {"region": "r"}, "b": {"region": "r"}},
        "models": {"m@1": {
            "kv_bytes_per_token": 1000, "weights_bytes": 1_000_000, "context_tokens": 100_000,
        }},
        "services": {"orders": {"max_in_flight_requests": 8}},
        "upstreams": entries,
        "workspaces": {"team-1": {"weight_count": 1}},
        "placement": [{"model": "m@1"}],
    });
    serde_json::from_value(value).unwrap()
}

/// Sends an operator command to a daemon.
pub(crate) fn send_command(operators: SocketAddr, command: &OperatorCommand) -> OperatorReply {
    let body = serde_json::to_string(command).unwrap();
    let headers = format!("Authorization: Bearer {TOKEN}\r\nX-Operator: ayla\r\n");
    let answer = client::call(operators, &client::post("/operator", &headers, &body));
    let reply = answer.strip_prefix("200 OK ").expect(&answer);
    serde_json::from_str(reply).unwrap()
}

/// Plans an intent and confirms the plan.
pub(crate) fn plan_and_confirm(operators: SocketAddr, intent: &Intent) -> OperatorReply {
    let (intent, force) = (intent.clone(), true);
    match send_command(operators, &OperatorCommand::Plan { intent, force }) {
        OperatorReply::Plan(plan) => send_command(operators, &OperatorCommand::Confirm(plan.id)),
        other => panic!("no plan: {other:?}"),
    }
}

/// Applies the first configuration and waits until each daemon gives a complete answer.
pub(crate) fn apply_configuration(
    operators: SocketAddr,
    callers: &[SocketAddr],
    upstreams: &[SocketAddr],
) {
    let replace = Intent::Replace(Box::new(configuration(upstreams)));
    wait("a confirmed configuration", || {
        let reply = plan_and_confirm(operators, &replace);
        match reply {
            OperatorReply::Confirmed(_) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    });
    for address in callers {
        wait("a complete answer", || {
            let request = client::post("/v1/completions", "", client::STREAM);
            let answer = client::read_response(client::send_request(*address, &request));
            client::complete_tokens(&answer).ok_or(answer)
        });
    }
}

impl ThreadCluster {
    /// Starts one daemon in `a` and one in `b`; the second one has the first as seed.
    pub(crate) fn start() -> Self {
        Self::start_with_settings(|_| {})
    }

    /// Like `start`, with changed settings.
    pub(crate) fn start_with_settings(adjust: impl Fn(&mut Value)) -> Self {
        let (platform, upstream) = (Platform::start(), Upstream::start());
        let ca = KeyPairPem::new_ca().unwrap();
        let mut daemons: Vec<DaemonHandle> = Vec::new();
        let mut seeds = json!([]);
        for (vm, domain) in [("vm-1", "a"), ("vm-2", "b")] {
            let mut settings = settings(vm, domain, &seeds, platform.address);
            adjust(&mut settings);
            let handle = start(&settings, &ca);
            seeds = json!([seed(vm, domain, handle.addresses().peers)]);
            daemons.push(handle);
        }
        let second_upstream = Upstream::start();
        let cluster = Self {
            platform,
            upstream,
            second_upstream,
            daemons,
        };
        let callers = [cluster.callers(0), cluster.callers(1)];
        let upstreams = [cluster.upstream.address, cluster.second_upstream.address];
        apply_configuration(cluster.operators(0), &callers, &upstreams);
        cluster
    }

    pub(crate) fn callers(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses().callers
    }

    pub(crate) fn operators(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses().operators
    }

    /// Sets the time between two tokens for both engines.
    pub(crate) fn set_token_interval(&self, token_ms: u64) {
        self.upstream.set_token_interval(token_ms);
        self.second_upstream.set_token_interval(token_ms);
    }

    /// Number of requests that hold engine memory.
    pub(crate) fn requests_holding_memory_count(&self) -> usize {
        self.upstream.counts().requests_holding_memory.len()
            + self.second_upstream.counts().requests_holding_memory.len()
    }

    /// Stops all daemons and asserts that none panicked.
    pub(crate) fn stop(self) {
        self.daemons.iter().for_each(DaemonHandle::stop);
        for daemon in self.daemons {
            assert!(daemon.join(), "a control thread panicked");
        }
    }
}

fn start(settings: &Value, ca: &KeyPairPem) -> DaemonHandle {
    let text = settings.to_string();
    let settings: Settings = parse(Path::new("vm.json"), text.as_bytes()).unwrap();
    let keys = ca.new_vm(&settings.vm).unwrap();
    let dependencies =
        Dependencies::production(&settings, &keys, Arc::new(Telemetry::new().unwrap())).unwrap();
    Daemon::start(settings, dependencies).unwrap()
}
