//! A request that crashes each server that begins to run it comes again every few seconds.

use crate::{
    http::{exchange, request, Connection},
    lab::{Folder, Gateway, Record, Server, ServerSettings, Sink},
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const STABILITY_MS: u64 = 3_000;
const RETRIES_MAX_LEN: usize = 3;
const ROUNDS: usize = 5;
const ROUND_GAP: Duration = Duration::from_millis(4_500);
const SENDERS_LEN: usize = 12;
const DEADLINE: Duration = Duration::from_millis(2_500);

struct Run {
    at_ms: u64,
    attempt: String,
}

pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::create(record_path);
    let Ok(store) = Store::start() else { return 2 };
    let folder = Folder::create();
    store.put("op", "config", CONFIG);
    let poison_runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let sink: Sink = {
        let (record, runs) = (record.clone(), Arc::clone(&poison_runs));
        Arc::new(move |server, line| {
            record.line(&format!("server {server}: {line}"));
            if let ["run", attempt, target] = line.split(' ').collect::<Vec<_>>()[..] {
                if target.contains("poison") {
                    runs.lock().unwrap().push(Run {
                        at_ms: record.ms(),
                        attempt: attempt.to_owned(),
                    });
                }
            }
        })
    };
    let servers: Vec<_> = (0..9)
        .map(|index| {
            let settings = ServerSettings {
                name: format!("i-{index}"),
                service: "orders".to_owned(),
                zone: ZONES[index % 3].to_owned(),
                slots: 6,
                back_after: Duration::from_millis(2_500),
                mode: "plain".to_owned(),
            };
            Server::start(&store, settings, Arc::clone(&sink))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let gateways: Vec<_> = (0..3)
        .map(|index| {
            let name = format!("front-{index}");
            Gateway::start(&folder, &name, ZONES[index], store.address)
        })
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let orders = Orders::default();
    let senders = (0..SENDERS_LEN).map(|sender| {
        let (record, orders) = (record.clone(), orders.clone());
        let gateway = callers[sender % callers.len()];
        thread::spawn(move || send_orders(&record, gateway, sender, &orders))
    });
    let senders: Vec<_> = senders.collect();
    let path = if has_trouble { "/status/poison" } else { "/status/sound" };
    for round in 0..ROUNDS {
        let begun_at = Instant::now();
        // The client tries once more, at another machine.
        for attempt in 0..2 {
            let gateway = callers[(round + attempt) % callers.len()];
            let id = format!("a{round:07}{attempt:08}");
            if ask(&record, ("GET", path), gateway, &id) == 200 {
                break;
            }
        }
        thread::sleep(ROUND_GAP.saturating_sub(begun_at.elapsed()));
    }
    orders.is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    drop(gateways);
    drop(servers);
    let (sent, failed) = (orders.sent.load(Ordering::Relaxed), orders.failed.load(Ordering::Relaxed));
    record.line(&format!("{sent} sound orders were sent, {failed} of them failed"));
    let runs = poison_runs.lock().unwrap();
    judge(&record, &runs, has_trouble)
}

/// Sends one attempt. Returns the status, or 0 without an answer.
fn ask(record: &Record, (method, path): (&str, &str), gateway: SocketAddr, attempt: &str) -> u16 {
    let until = Instant::now() + DEADLINE;
    let deadline = DEADLINE.as_millis().to_string();
    let fields = [
        ("Host", "orders.example"),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", deadline.as_str()),
        ("Key", "key-one"),
    ];
    record.line(&format!("client sends {attempt} {method} {path} to {gateway}"));
    let answer = Connection::open(gateway, Duration::from_secs(1))
        .and_then(|mut c| exchange(&mut c, &request(method, path, &fields, b""), DEADLINE));
    match answer {
        Ok(answer) => {
            let status = answer.head.status();
            let wait = answer.head.get("retry-after").and_then(|wait| wait.parse().ok());
            record.line(&format!("client gets {status} for {attempt}, Retry-After {wait:?}"));
            let left = until.saturating_duration_since(Instant::now());
            let wait = Duration::from_secs_f64(wait.unwrap_or(0.0));
            thread::sleep(wait.min(left / 3));
            status
        }
        Err(error) => {
            record.line(&format!("client gets no answer for {attempt}: {error}"));
            0
        }
    }
}

/// Sends sound orders to a machine, one after the other, until the end.
fn send_orders(record: &Record, gateway: SocketAddr, sender: usize, orders: &Orders) {
    let mut count = 0;
    while !orders.is_over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("b{sender:03}{count:012}");
        let status = ask(record, ("POST", "/orders/new"), gateway, &id);
        orders.sent.fetch_add(1, Ordering::Relaxed);
        if status != 200 {
            orders.failed.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[derive(Clone, Default)]
struct Orders {
    sent: Arc<AtomicU32>,
    failed: Arc<AtomicU32>,
    is_over: Arc<AtomicBool>,
}

fn judge(record: &Record, runs: &[Run], has_trouble: bool) -> i32 {
    if !has_trouble {
        record.line(&format!("no trouble: {} poison runs", runs.len()));
        return i32::from(!runs.is_empty());
    }
    let Some(third) = runs.get(2) else { return 2 };
    let from_ms = third.at_ms + STABILITY_MS;
    let late: Vec<_> = runs.iter().filter(|run| run.at_ms > from_ms).collect();
    let mut attempts: Vec<_> = late.iter().map(|run| run.attempt.as_str()).collect();
    attempts.sort_unstable();
    attempts.dedup();
    let summary = format!(
        "third crash at {} ms; later than {from_ms} ms {} arrivals of {} attempts at servers; {} crashes in all",
        third.at_ms,
        late.len(),
        attempts.len(),
        runs.len()
    );
    record.line(&summary);
    println!("{summary}");
    i32::from(attempts.len() > RETRIES_MAX_LEN)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-status","host":"orders.example","prefix":"/status/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":2,"public":false},{"name":"r-order","host":"orders.example","prefix":"/orders/","kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":1,"public":false}],"services":[{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-one","apiKeys":["key-one"],"priority":1}]}"#;
