//! The store gives the changes that a gateway missed in several answers. The gateway takes the first one for the latest
//! state, and accepts a key that a later one takes away.

use crate::{
    http::{exchange, request, response, Connection},
    lab::{unix_ms, Entry, Folder, Gateway, Record, SIGKILL},
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

const REVOKE_MS: u64 = 5_000;
/// Time for which the store refuses the calls of one of the three gateways.
const REFUSAL: Duration = Duration::from_secs(9);
/// Time for which the two others are without power.
const POWER_OFF: Duration = Duration::from_secs(2);
/// Routes by which the configuration grows.
const MORE_ROUTES_LEN: usize = 420;
/// Configurations in quick succession, and the time between two of them.
const STORM_LEN: usize = 25;
const STORM_GAP: Duration = Duration::from_millis(60);
const CLIENTS_LEN: usize = 4;

/// When requests were sent, by their id.
type Sent = Arc<Mutex<HashMap<String, u64>>>;

pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::create(record_path);
    let Ok(store) = Store::start() else { return 2 };
    let Ok(door) = store.open_door() else {
        return 2;
    };
    let folder = Folder::create();
    store.put("op", "config", &config(3, 0, true));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut servers = Vec::new();
    for index in 0..3 {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let on_run = move |attempt: &str, tenant: &str| {
            record.line(&format!("server i-{index} runs {attempt} of {tenant}"));
            runs.lock().unwrap().push(attempt.to_owned());
        };
        let Ok(address) = serve(on_run) else { return 2 };
        servers.push((index, address));
    }
    let heartbeats = {
        let (store, is_over) = (store.clone(), Arc::clone(&is_over));
        thread::spawn(move || register(&store, &servers, &is_over))
    };
    thread::sleep(Duration::from_millis(300));
    let others = ["front-0", "front-1"];
    let mut others = others.map(|name| Gateway::start(&folder, name, "zone-a", store.address));
    let gateway = Gateway::start(&folder, "front-2", "zone-a", door.address);
    if !others.iter().chain([&gateway]).all(Gateway::wait_ready) {
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let sent = Sent::default();
    let clients: Vec<_> = (0..CLIENTS_LEN)
        .map(|index| {
            let key = if index == 0 { "key-kept" } else { "key-revoked" };
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            let (callers, is_over) = (gateway.callers, Arc::clone(&is_over));
            thread::spawn(move || send((index, key), callers, (&record, &sent), &is_over))
        })
        .collect();
    store.put("op", "config", &config(4, MORE_ROUTES_LEN, true));
    record.line("operator: configuration 4, with many more routes");
    thread::sleep(Duration::from_secs(2));

    let begun_at = Instant::now();
    if has_trouble {
        record.line("the store refuses the calls of front-2");
        door.set_refusing(true);
        record.line("front-0 and front-1 lose power");
        others.iter().for_each(|other| other.signal(SIGKILL));
    }
    thread::sleep(Duration::from_millis(200));
    let mut version = 4;
    for _ in 0..STORM_LEN {
        version += 2;
        store.put("op", "config", &config(version, MORE_ROUTES_LEN, true));
        thread::sleep(STORM_GAP);
    }
    record.line(&format!("operator: configurations in quick succession, the last is {version}"));
    version += 1;
    store.put("op", "config", &config(version, MORE_ROUTES_LEN, false));
    let revoked_ms = record.ms();
    record.line(&format!("operator: configuration {version} takes key-revoked away, acknowledged"));
    thread::sleep(POWER_OFF.saturating_sub(begun_at.elapsed()));
    if has_trouble {
        record.line("front-0 and front-1 are started again");
        for other in &mut others {
            while !other.has_ended() {
                thread::sleep(Duration::from_millis(10));
            }
            other.spawn();
        }
    }
    thread::sleep(REFUSAL.saturating_sub(begun_at.elapsed()));
    door.set_refusing(false);
    record.line("the store serves all again");
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop((others, gateway));
    let _ = heartbeats.join();

    let from_ms = revoked_ms + REVOKE_MS;
    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    let kept = runs.iter().filter(|attempt| attempt.starts_with('0')).count();
    let mut wrong: Vec<_> = runs
        .iter()
        .filter(|attempt| !attempt.starts_with('0'))
        .filter_map(|attempt| sent.get(attempt).copied())
        .filter(|sent_ms| *sent_ms > from_ms)
        .collect();
    wrong.sort_unstable();
    let summary = format!(
        "{} requests with the revoked key, sent later than {from_ms} ms, ran (first and last sent: {:?}); {kept} with the other key ran",
        wrong.len(),
        (wrong.first(), wrong.last())
    );
    record.line(&summary);
    println!("{summary}");
    if kept == 0 {
        return 2;
    }
    i32::from(!wrong.is_empty())
}

/// Writes the entries of the servers until the end.
fn register(store: &Store, servers: &[(usize, SocketAddr)], is_over: &AtomicBool) {
    let born = unix_ms();
    let mut sequence = 0;
    while !is_over.load(Ordering::Relaxed) {
        sequence += 1;
        for (index, address) in servers {
            let entry = Entry {
                service: "orders",
                address: *address,
                zone: "zone-a",
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
fn send(
    (index, key): (usize, &str),
    gateway: SocketAddr,
    (record, sent): (&Record, &Sent),
    is_over: &AtomicBool,
) {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let attempt = format!("{index}{count:015}");
        let fields = [
            ("Host", "orders.example"),
            ("Attempt-Id", attempt.as_str()),
            ("Deadline-Ms", "1000"),
            ("Key", key),
        ];
        let bytes = request("GET", "/status/1", &fields, b"");
        let limit = Duration::from_secs(1);
        let connection = Connection::open(gateway, limit);
        sent.lock().unwrap().insert(attempt.clone(), record.ms());
        record.line(&format!("client sends {attempt} with {key}"));
        match connection.and_then(|mut connection| exchange(&mut connection, &bytes, limit)) {
            Ok(answer) => record.line(&format!("client gets {} for {attempt}", answer.head.status())),
            Err(error) => record.line(&format!("client gets no answer for {attempt}: {error}")),
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A sound plain server.
fn serve(on_run: impl Fn(&str, &str) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let on_run = on_run.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(head) = connection.head() {
                    let attempt = head.get("attempt-id").unwrap_or_default();
                    if head.target().starts_with("/status/") {
                        on_run(attempt, head.get("tenant").unwrap_or_default());
                    }
                    thread::sleep(Duration::from_millis(5));
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

/// A configuration with some more routes, and with or without the key that is taken away.
fn config(version: u64, more_routes_len: usize, has_key: bool) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"orders.example","prefix":"{prefix}","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":2,"public":false}}"#
        )
    };
    let more = (0..more_routes_len).map(|index| route(&format!("r-more-{index}"), &format!("/more-{index}/")));
    let routes: Vec<_> = std::iter::once(route("r-status", "/status/")).chain(more).collect();
    let revoked = if has_key { r#","key-revoked""# } else { "" };
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tenant-one","apiKeys":["key-kept"{revoked}],"priority":1}}]}}"#,
        routes.join(",")
    )
}
