//! The store comes back from a copy that lacks an evacuation, which the operator writes again some seconds later.

use crate::{
    http::{exchange, request, response, Connection},
    lab::{unix_ms, Entry, Folder, Gateway, Record},
    store::Store,
};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const OUT: &str = "zone-b";
const EVACUATE_MS: u64 = 5_000;
const AWAY: Duration = Duration::from_secs(1);
/// Time from the return of the store until the operator writes again.
const REWRITE_AFTER: Duration = Duration::from_secs(12);

pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::create(record_path);
    let Ok(store) = Store::start() else { return 2 };
    let folder = Folder::create();
    store.put("op", "config", CONFIG);
    let runs: Arc<Mutex<Vec<(u64, &str)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for index in 0..6 {
        let zone = ZONES[index % 3];
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let on_run = move |attempt: &str| {
            record.line(&format!("server i-{index} in {zone} runs {attempt}"));
            runs.lock().unwrap().push((record.ms(), zone));
        };
        let Ok(address) = serve(on_run) else { return 2 };
        servers.push((index, zone, address));
    }
    let heartbeats = {
        let (store, is_over) = (store.clone(), Arc::clone(&is_over));
        thread::spawn(move || register(&store, &servers, &is_over))
    };
    thread::sleep(Duration::from_millis(300));
    let gateways: Vec<_> = (0..3)
        .map(|index| {
            let name = format!("front-{index}");
            Gateway::start(&folder, &name, ZONES[index], store.address)
        })
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let clients: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let (record, gateway) = (record.clone(), gateway.callers);
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || send(&record, gateway, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let copy = store.copy();
    thread::sleep(Duration::from_secs(1));
    let row = format!("evacuate/{OUT}");
    store.put("op", &row, "{}");
    let acknowledged_ms = record.ms();
    record.line(&format!("operator evacuates {OUT}"));
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        record.line("the store is away");
        store.set_down(true);
        thread::sleep(AWAY);
        store.restore(&copy);
        store.set_down(false);
        record.line("the store is back from a copy");
    }
    thread::sleep(REWRITE_AFTER);
    store.put("op", &row, "{}");
    record.line(&format!("operator writes the evacuation of {OUT} again"));
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let _ = heartbeats.join();
    let runs = runs.lock().unwrap();
    let from_ms = acknowledged_ms + EVACUATE_MS;
    let wrong: Vec<_> = runs.iter().filter(|(at_ms, zone)| *at_ms > from_ms && *zone == OUT).collect();
    let span = (wrong.first().map(|run| run.0), wrong.last().map(|run| run.0));
    let summary = format!(
        "{} requests reached {OUT} later than {from_ms} ms (first and last: {span:?})",
        wrong.len()
    );
    record.line(&summary);
    println!("{summary}");
    i32::from(!wrong.is_empty())
}

/// Writes the entries of the servers until the end.
fn register(store: &Store, servers: &[(usize, &str, SocketAddr)], is_over: &AtomicBool) {
    let born = unix_ms();
    let mut sequence = 0;
    while !is_over.load(Ordering::Relaxed) {
        sequence += 1;
        for (index, zone, address) in servers {
            let entry = Entry {
                service: "orders",
                address: *address,
                zone,
                slots: 6,
                state: "ready",
                sequence,
                born,
            };
            store.put("servers", &format!("i-{index}"), &entry.text());
        }
        thread::sleep(Duration::from_millis(1_200));
    }
}

/// Sends requests one after the other until the end.
fn send(record: &Record, gateway: SocketAddr, is_over: &AtomicBool) {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let attempt = format!("{}{count:010}", gateway.port());
        let fields = [
            ("Host", "orders.example"),
            ("Attempt-Id", attempt.as_str()),
            ("Deadline-Ms", "2500"),
            ("Key", "key-one"),
        ];
        let bytes = request("GET", "/status/1", &fields, b"");
        let limit = Duration::from_millis(2_500);
        let answer = Connection::open(gateway, Duration::from_secs(1))
            .and_then(|mut connection| exchange(&mut connection, &bytes, limit));
        match answer {
            Ok(answer) => record.line(&format!("client gets {} for {attempt}", answer.head.status())),
            Err(error) => record.line(&format!("client gets no answer for {attempt}: {error}")),
        }
        thread::sleep(Duration::from_millis(30));
    }
}

/// A sound plain server.
fn serve(on_run: impl Fn(&str) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let on_run = on_run.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(head) = connection.head() {
                    let attempt = head.get("attempt-id").unwrap_or_default();
                    on_run(attempt);
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

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-status","host":"orders.example","prefix":"/status/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":2,"public":false}],"services":[{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-one","apiKeys":["key-one"],"priority":1}]}"#;
