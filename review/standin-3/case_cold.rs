//! The servers of a plain service come back together, cold, while many clients want them.

use crate::{
    http::{exchange, request, response, Connection},
    lab::{unix_ms, Entry, Folder, Gateway, Record},
    store::Store,
};
use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const GATEWAYS_LEN: usize = 9;
const SERVERS_LEN: usize = 3;
const CLIENTS_LEN: usize = 240;
const PERIOD: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(2_500);
const COLD: Duration = Duration::from_secs(5);
const COLD_PER_S: f64 = 10.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// What ran, and when clients had sent it.
#[derive(Default)]
struct Seen {
    sent_ms: HashMap<String, u64>,
    runs: Vec<Run>,
}

struct Run {
    attempt: String,
    server: usize,
    at_ms: u64,
}

type Shared = Arc<Mutex<Seen>>;

pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::create(record_path);
    let Ok(store) = Store::start() else { return 2 };
    let folder = Folder::create();
    store.put("op", "config", CONFIG);
    let seen = Shared::default();
    let mut servers = Vec::new();
    for index in 0..SERVERS_LEN {
        let (record, seen) = (record.clone(), Arc::clone(&seen));
        let on_arrival = move |attempt: &str| {
            record.line(&format!("server {index} runs {attempt}"));
            seen.lock().unwrap().runs.push(Run {
                attempt: attempt.to_owned(),
                server: index,
                at_ms: record.ms(),
            });
        };
        let Ok(address) = serve(on_arrival) else { return 2 };
        servers.push(address);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let gateways: Vec<_> = (0..GATEWAYS_LEN)
        .map(|index| {
            let name = format!("front-{index}");
            Gateway::start(&folder, &name, ZONES[index % 3], store.address)
        })
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS_LEN)
        .map(|client| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let seen = Arc::clone(&seen);
            let gateway = gateways[client % GATEWAYS_LEN].callers;
            thread::spawn(move || send((&record, &seen), gateway, client, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let cold_for = if has_trouble { COLD } else { Duration::ZERO };
    let cold_until_ms = record.ms() + cold_for.as_millis() as u64;
    record.line(&format!("the servers come back, cold for {} ms", cold_for.as_millis()));
    let heartbeats = {
        let (store, is_over) = (store.clone(), Arc::clone(&is_over));
        let cold_until = Instant::now() + cold_for;
        thread::spawn(move || register(&store, &servers, cold_until, &is_over))
    };
    thread::sleep(COLD + Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let _ = heartbeats.join();
    let seen = seen.lock().unwrap();
    let bound = COLD_PER_S * OVERAGE + SLACK;
    let mut worst = (0, 0, 0);
    for server in 0..SERVERS_LEN {
        let own = seen.runs.iter().filter(|run| run.server == server && run.at_ms < cold_until_ms);
        let own: Vec<_> = own.map(|run| (seen.sent_ms[&run.attempt], run.at_ms)).collect();
        for (from_ms, _) in &own {
            // Sent and arrived inside the second.
            let inside = |(sent_ms, at_ms): &&(u64, u64)| sent_ms >= from_ms && *at_ms < from_ms + 1_000;
            worst = worst.max((own.iter().filter(inside).count(), server, *from_ms));
        }
    }
    let (len, server, at_ms) = worst;
    let summary = format!(
        "{} requests ran; at most {len} in one second at a cold server (server {server} from {at_ms} ms), allowed are {bound}",
        seen.runs.len()
    );
    record.line(&summary);
    println!("{summary}");
    i32::from(len as f64 > bound)
}

fn register(store: &Store, servers: &[SocketAddr], cold_until: Instant, is_over: &AtomicBool) {
    let born = unix_ms();
    let mut sequence = 0;
    while !is_over.load(Ordering::Relaxed) {
        sequence += 1;
        for (index, address) in servers.iter().enumerate() {
            let entry = Entry {
                service: "orders",
                address: *address,
                zone: ZONES[index % 3],
                slots: 6,
                state: "ready",
                sequence,
                born,
            };
            let left_ms = cold_until.saturating_duration_since(Instant::now()).as_millis();
            let text = entry.text().replace("\"coldRemainingMs\":0", &format!("\"coldRemainingMs\":{left_ms}"));
            store.put("servers", &format!("i-{index}"), &text);
        }
        thread::sleep(Duration::from_millis(1_200));
    }
}

/// Sends a request in each period, and once more after `Retry-After` where it fails, until the end.
fn send((record, seen): (&Record, &Shared), gateway: SocketAddr, client: usize, is_over: &AtomicBool) {
    let mut next_at = Instant::now() + PERIOD * client as u32 / CLIENTS_LEN as u32;
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
        next_at += PERIOD;
        for _ in 0..2 {
            count += 1;
            let attempt = format!("c{client:03}{count:010}");
            seen.lock().unwrap().sent_ms.insert(attempt.clone(), record.ms());
            let Some(wait) = ask(record, gateway, &attempt) else {
                break;
            };
            thread::sleep(wait.min(DEADLINE / 3));
        }
    }
}

/// Sends one attempt. Returns how long to wait before the next one, if it failed.
fn ask(record: &Record, gateway: SocketAddr, attempt: &str) -> Option<Duration> {
    let deadline = DEADLINE.as_millis().to_string();
    let fields = [
        ("Host", "orders.example"),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", deadline.as_str()),
        ("Key", "key-one"),
    ];
    let bytes = request("GET", "/status/1", &fields, b"");
    let answer = Connection::open(gateway, Duration::from_secs(1))
        .and_then(|mut connection| exchange(&mut connection, &bytes, DEADLINE));
    match answer {
        Ok(answer) => {
            let status = answer.head.status();
            record.line(&format!("client gets {status} for {attempt}"));
            let wait = answer.head.get("retry-after").and_then(|wait| wait.parse().ok());
            (status != 200).then(|| Duration::from_secs_f64(wait.unwrap_or(0.0)))
        }
        Err(error) => {
            record.line(&format!("client gets no answer for {attempt}: {error}"));
            Some(Duration::ZERO)
        }
    }
}

/// A sound plain server.
fn serve(on_arrival: impl Fn(&str) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let on_arrival = on_arrival.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(head) = connection.head() {
                    let attempt = head.get("attempt-id").unwrap_or_default();
                    on_arrival(attempt);
                    thread::sleep(Duration::from_millis(10));
                    let fields = [("Attempt-Id", attempt), ("Response-Stamp", "stamp.1")];
                    if connection.write(&response("200 OK", &fields, b"ok")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-status","host":"orders.example","prefix":"/status/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":2,"public":false}],"services":[{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":5.0,"coldPerS":10.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-one","apiKeys":["key-one"],"priority":1}]}"#;
