//! The cases.

use crate::{
    client::{self, Request},
    config::Config,
    gateway::Gateway,
    record::Record,
    server::Server,
    store::Store,
    Verdict,
};
use std::{path::Path, sync::Arc, thread, time::Duration};

pub struct Setup<'a> {
    pub trouble: bool,
    pub folder: &'a Path,
    pub record: Arc<Record>,
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

const READY: Duration = Duration::from_secs(10);

/// A process that restarts keeps a freshness report meant for the process before it: it counts what it knows
/// as current until its clock reaches that of the old process.
pub fn stale_freshness(setup: &Setup<'_>) -> Verdict {
    let Setup {
        trouble,
        folder,
        record,
    } = setup;
    let store = Store::new();
    let tenants = (0..250).map(|t| {
        (
            format!("t{t}"),
            vec![format!("key-{t}-a"), format!("key-{t}-b")],
        )
    });
    let mut config = Config {
        tenants: tenants.collect(),
        spare_routes_len: 20,
        cold_per_s: 0,
        version: 0,
    };
    config.write(&store, record, "the first one");
    let server = Server::start("i-orders-1", "orders", "north", &store, record);
    let (address, _) = store.listen();
    let front_a = Gateway::start("front-a", "north", address, folder, record);
    let (address, port_c) = store.listen();
    let mut front_c = Gateway::start("front-c", "north", address, folder, record);
    for round in 0..3 {
        let (address, _) = store.listen();
        let mut front_b =
            Gateway::start(&format!("front-b{round}"), "north", address, folder, record);
        for gateway in [&front_a, &front_b, &front_c] {
            if !gateway.wait_ready(READY) {
                return Verdict::NotRun(format!("{} isn't ready", gateway.name));
            }
        }
        // The machines serve for a while.
        for second in 0..16 {
            let attempt = format!("r{round}-calm-{second}");
            let key = format!("key-{}-a", 100 + round);
            let request = Request {
                attempt: &attempt,
                method: "POST",
                path: "/release/1",
                key: &key,
                deadline_ms: 2_500,
                body_len: 600,
            };
            if client::send(front_c.front, &request, record) != 200 && second > 5 {
                return Verdict::NotRun("a calm request fails".to_owned());
            }
            sleep_ms(900);
        }
        if *trouble {
            record.line("front-b is lost for good");
            front_b.kill();
            sleep_ms(3_500);
            front_c.kill();
            front_c.spawn();
            if !front_c.wait_ready(READY) {
                return Verdict::NotRun("front-c isn't ready again".to_owned());
            }
            sleep_ms(4_500);
            record.line("the store turns front-c away");
            store.turn_away(port_c, true);
        }
        sleep_ms(200);
        let tenant = 10 + round;
        let revoked = format!("key-{tenant}-a");
        config.tenants[tenant].1.remove(0);
        config.write(&store, record, &format!("{revoked} is taken away"));
        let acknowledged = record.now();
        sleep_ms(5_200);
        let is_ready = front_c.is_ready();
        record.line(&format!(
            "front-c says it is {}ready",
            if is_ready { "" } else { "not " }
        ));
        for n in 0..5 {
            let attempt = format!("r{round}-revoked-{n}");
            let request = Request {
                attempt: &attempt,
                method: "POST",
                path: "/release/1",
                key: &revoked,
                deadline_ms: 2_500,
                body_len: 600,
            };
            let late_ms = (record.now() - acknowledged).as_millis();
            client::send(front_c.front, &request, record);
            if server.runs().iter().any(|run| run.attempt == attempt) {
                record.line(&format!(
                    "{attempt} was sent {late_ms} ms after the acknowledgement, and ran"
                ));
                return Verdict::Broken;
            }
            sleep_ms(200);
        }
        if !*trouble {
            return Verdict::Held;
        }
        store.turn_away(port_c, false);
        sleep_ms(500);
        drop(front_b);
    }
    Verdict::Held
}

/// A gateway that restarts after the store came back from a copy serves with the copy's configuration until it has
/// found its peers.
pub fn restored_copy(setup: &Setup<'_>) -> Verdict {
    let Setup {
        trouble,
        folder,
        record,
    } = setup;
    let store = Store::new();
    let tenants = (0..10).map(|t| {
        (
            format!("t{t}"),
            vec![format!("key-{t}-a"), format!("key-{t}-b")],
        )
    });
    let mut config = Config {
        tenants: tenants.collect(),
        spare_routes_len: 20,
        cold_per_s: 0,
        version: 0,
    };
    config.write(&store, record, "the first one");
    let server = Server::start("i-orders-1", "orders", "north", &store, record);
    let mut gateways = Vec::new();
    for name in ["front-a", "front-b", "front-c"] {
        let (address, _) = store.listen();
        gateways.push(Gateway::start(name, "north", address, folder, record));
    }
    for gateway in &gateways {
        if !gateway.wait_ready(READY) {
            return Verdict::NotRun(format!("{} isn't ready", gateway.name));
        }
    }
    sleep_ms(6_000);
    let calm = Request {
        attempt: "calm",
        method: "POST",
        path: "/release/1",
        key: "key-3-a",
        deadline_ms: 2_500,
        body_len: 600,
    };
    if client::send(gateways[2].front, &calm, record) != 200 {
        return Verdict::NotRun("a calm request fails".to_owned());
    }
    let copy = store.copy();
    record.line("the copy is of this moment");
    sleep_ms(500);
    config.tenants[3].1.remove(0);
    config.write(&store, record, "key-3-a is taken away");
    let acknowledged = record.now();
    sleep_ms(4_600);
    if *trouble {
        record.line("the store is away");
        store.set_down(true);
        sleep_ms(500);
        store.restore(&copy);
        store.set_down(false);
        record.line("the store is back from the copy, 5.6 s old; its era rises");
        sleep_ms(300);
        gateways[2].kill();
        sleep_ms(200);
        gateways[2].spawn();
    } else {
        sleep_ms(1_000);
    }
    let restarted_at = record.now();
    let mut verdict = Verdict::Held;
    let mut is_rewritten = false;
    for n in 0..30 {
        let is_ready = gateways[2].is_ready();
        let late_ms = (record.now() - acknowledged).as_millis();
        if is_ready && late_ms > 5_000 {
            let attempt = format!("revoked-{n}");
            let request = Request {
                attempt: &attempt,
                method: "POST",
                path: "/release/1",
                key: "key-3-a",
                deadline_ms: 2_500,
                body_len: 600,
            };
            client::send(gateways[2].front, &request, record);
            if server.runs().iter().any(|run| run.attempt == attempt) {
                record.line(&format!("{attempt} was sent {late_ms} ms after the acknowledgement, and ran; front-c said it was ready"));
                verdict = Verdict::Broken;
            }
        }
        if *trouble && !is_rewritten && (record.now() - restarted_at).as_millis() > 1_500 {
            is_rewritten = true;
            config.write_again(&store, record);
        }
        sleep_ms(100);
    }
    verdict
}

/// After SIGTERM, a process that still holds an answer for a slow client reads requests that nobody answers.
pub fn unanswered_at_stop(setup: &Setup<'_>) -> Verdict {
    let Setup {
        trouble,
        folder,
        record,
    } = setup;
    let store = Store::new();
    let tenants = (0..10).map(|t| {
        (
            format!("t{t}"),
            vec![format!("key-{t}-a"), format!("key-{t}-b")],
        )
    });
    let mut config = Config {
        tenants: tenants.collect(),
        spare_routes_len: 20,
        cold_per_s: 0,
        version: 0,
    };
    config.write(&store, record, "the first one");
    let server = Server::start("i-orders-1", "orders", "north", &store, record);
    let (address, _) = store.listen();
    let mut gateway = Gateway::start("front-a", "north", address, folder, record);
    if !gateway.wait_ready(READY) {
        return Verdict::NotRun("front-a isn't ready".to_owned());
    }
    sleep_ms(4_000);
    // Clients on connections that they keep.
    let mut kept = Vec::new();
    for n in 0..5 {
        let attempt = format!("kept-{n}-first");
        let request = Request {
            attempt: &attempt,
            method: "POST",
            path: "/release/1",
            key: "key-2-a",
            deadline_ms: 2_500,
            body_len: 600,
        };
        match client::KeptConnection::open(gateway.front, &request, record) {
            Ok(connection) => kept.push(connection),
            Err(error) => return Verdict::NotRun(format!("a calm request fails: {error}")),
        }
    }
    let slow = Request {
        attempt: "slow-reader",
        method: "GET",
        path: "/export/1?bytes=1000000",
        key: "key-1-a",
        deadline_ms: 15_000,
        body_len: 0,
    };
    client::read_slowly(gateway.front, &slow, record);
    sleep_ms(1_000);
    if *trouble {
        gateway.signal(crate::gateway::SIGTERM);
    }
    let stopped_at = record.now();
    sleep_ms(2_400);
    // Their next requests are under way when the process stops to accept new ones.
    let uploads: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(n, connection)| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let attempt = format!("kept-{n}-second");
                let request = Request {
                    attempt: &attempt,
                    method: "POST",
                    path: "/file/1",
                    key: "key-2-a",
                    deadline_ms: 10_000,
                    body_len: 38_000,
                };
                connection.upload(&request, 1_000 + 100 * n as u64, &record)
            })
        })
        .collect();
    let ends: Vec<_> = uploads
        .into_iter()
        .map(|upload| upload.join().unwrap())
        .collect();
    let lost = ends
        .iter()
        .filter(|end| end.status == 0 && end.sent_all && end.waited_ms > 200);
    let lost_len = lost.count();
    record.line(&format!(
        "{lost_len} of {} requests were sent whole, and their connections ended without an answer over 200 ms later, \
         {} ms after the signal",
        ends.len(),
        (record.now() - stopped_at).as_millis()
    ));
    sleep_ms(300);
    let has_ended = gateway.has_ended();
    record.line(&format!(
        "front-a has {}ended; the server ran {} requests",
        if has_ended { "" } else { "not " },
        server.runs().len()
    ));
    if lost_len > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Requests a second that a cold server takes.
const COLD_PER_S: u32 = 36;

/// The bound of the rule: `coldPerS` x `coldOverage` + `coldSlack`.
const COLD_MAX_LEN: usize = 59;

/// Requests within a second that a cold server bears; it crashes "at a rate well above" its own.
const COLD_BEARS_LEN: usize = 65;

/// A gateway is killed and starts again while servers are cold: until it has found its peers, it gives a cold server
/// the rate that it takes from all.
pub fn cold_servers(setup: &Setup<'_>) -> Verdict {
    let Setup {
        trouble,
        folder,
        record,
    } = setup;
    let store = Store::new();
    let tenants = (0..10).map(|t| {
        (
            format!("t{t}"),
            vec![format!("key-{t}-a"), format!("key-{t}-b")],
        )
    });
    let mut config = Config {
        tenants: tenants.collect(),
        spare_routes_len: 20,
        cold_per_s: COLD_PER_S,
        version: 0,
    };
    config.write(&store, record, "the first one");
    let start_server = |n: usize, cold_for| {
        let id = format!("i-orders-{n}");
        let cold = (cold_for, COLD_BEARS_LEN);
        Server::start_with(&id, "orders", "north", cold, &store, record)
    };
    let warm: Vec<_> = (1..=2).map(|n| start_server(n, Duration::ZERO)).collect();
    let mut gateways = Vec::new();
    for name in ["front-a", "front-b"] {
        let (address, _) = store.listen();
        gateways.push(Gateway::start(name, "north", address, folder, record));
    }
    for gateway in &gateways {
        if !gateway.wait_ready(READY) {
            return Verdict::NotRun(format!("{} isn't ready", gateway.name));
        }
    }
    sleep_ms(6_000);
    let calm = Request {
        attempt: "calm",
        method: "POST",
        path: "/release/1",
        key: "key-3-a",
        deadline_ms: 2_500,
        body_len: 600,
    };
    if client::send(gateways[1].front, &calm, record) != 200 {
        return Verdict::NotRun("a calm request fails".to_owned());
    }
    // About ninety requests a second at each gateway.
    let until = record.now() + Duration::from_secs(7);
    let mut clients = Vec::new();
    for (g, gateway) in gateways.iter().enumerate() {
        for n in 0..18 {
            let (front, record) = (gateway.front, Arc::clone(record));
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while record.now() < until {
                    count += 1;
                    let attempt = format!("g{g}-{n}-{count}");
                    let request = Request {
                        attempt: &attempt,
                        method: "POST",
                        path: "/release/1",
                        key: "key-1-a",
                        deadline_ms: 2_500,
                        body_len: 600,
                    };
                    client::send(front, &request, &record);
                    sleep_ms(170);
                }
            }));
        }
    }
    sleep_ms(2_000);
    for server in &warm {
        server.lose_power();
    }
    if *trouble {
        gateways[1].kill();
    }
    sleep_ms(800);
    let cold_from = record.now();
    record.line("the servers are back under new ids, cold for 3 s");
    let servers: Vec<_> = (3..=4)
        .map(|n| start_server(n, Duration::from_secs(3)))
        .collect();
    sleep_ms(200);
    if *trouble {
        gateways[1].spawn();
    }
    for client in clients {
        let _ = client.join();
    }
    let cold_to = cold_from + Duration::from_millis(3_000);
    let mut verdict = Verdict::Held;
    for (n, server) in servers.iter().enumerate() {
        let arrivals = server.arrivals();
        let cold = arrivals
            .iter()
            .filter(|at| **at >= cold_from && **at < cold_to);
        let cold: Vec<_> = cold.copied().collect();
        let within = |from: &Duration| {
            let second = cold
                .iter()
                .filter(|at| *at >= from && **at < *from + Duration::from_secs(1));
            second.count()
        };
        let most_len = cold.iter().map(within).max().unwrap_or(0);
        record.line(&format!(
            "server i-orders-{} got {most_len} requests within a second while it was cold; {COLD_MAX_LEN} are allowed",
            n + 3
        ));
        if most_len > COLD_MAX_LEN {
            verdict = Verdict::Broken;
        }
    }
    verdict
}
