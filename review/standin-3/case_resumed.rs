//! Two servers crash while one stream runs: the one that writes it, and the one that is to go on with it.

use crate::{
    http::{find, request, Connection},
    lab::{Folder, Gateway, Record, Server, ServerSettings, Sink},
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const SERVERS_LEN: usize = 12;
const STREAMS_LEN: usize = 3;
const EVENTS_LEN: usize = 12;
const BACK_AFTER: Duration = Duration::from_secs(3);
const STREAM_GAP: Duration = Duration::from_secs(7);

/// Time from what a server tells to its crash: inside an event, or half of the time until the first one.
const CRASH_AFTER: Duration = Duration::from_millis(20);

type Killers = Arc<Mutex<Vec<Box<dyn Fn() + Send + Sync>>>>;

pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::create(record_path);
    let Ok(store) = Store::start() else { return 2 };
    let folder = Folder::create();
    store.put("op", "config", CONFIG);
    let killers = Killers::default();
    let servers: Vec<_> = (0..SERVERS_LEN)
        .map(|index| {
            let settings = ServerSettings {
                name: format!("i-{index}"),
                service: "advisor".to_owned(),
                zone: ZONES[index % 3].to_owned(),
                slots: 16,
                back_after: BACK_AFTER,
                mode: "stream".to_owned(),
            };
            let sink = sink(&record, &killers, index, has_trouble);
            Server::start(&store, settings, sink)
        })
        .collect();
    for server in &servers {
        killers.lock().unwrap().push(Box::new(server.killer()));
    }
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
    let mut broken_len = 0;
    for stream in 0..STREAMS_LEN {
        let gateway = &gateways[stream % gateways.len()];
        broken_len += usize::from(is_broken(&record, gateway.callers, stream));
        thread::sleep(STREAM_GAP);
    }
    drop(gateways);
    drop(servers);
    let summary = format!("{broken_len} of {STREAMS_LEN} streams ended as complete before their last piece");
    record.line(&summary);
    println!("{summary}");
    i32::from(broken_len > 0)
}

/// Records what a server tells. With trouble, ends a server inside the fifth event of a stream, and the server that is
/// to go on with it as soon as that has begun.
fn sink(record: &Record, killers: &Killers, index: usize, has_trouble: bool) -> Sink {
    let (record, killers) = (record.clone(), Arc::clone(killers));
    Arc::new(move |server, line| {
        record.line(&format!("server {server}: {line}"));
        let words: Vec<_> = line.split(' ').collect();
        let is_crash = match words[..] {
            ["inside", _, event] => event == "5",
            ["begin", _, last] => last != "0",
            _ => false,
        };
        if is_crash && has_trouble {
            thread::sleep(CRASH_AFTER);
            killers.lock().unwrap()[index]();
            record.line(&format!("SIGKILL to server {server}"));
        }
    })
}

/// Asks for a stream. Returns whether it looks complete and is not.
fn is_broken(record: &Record, gateway: SocketAddr, stream: usize) -> bool {
    let attempt = format!("a{stream:015}");
    let fields = [
        ("Host", "advisor.example"),
        ("Attempt-Id", attempt.as_str()),
        ("Deadline-Ms", "10000"),
        ("Model", "m"),
        ("Token-Counts", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ("Key", "key-one"),
    ];
    record.line(&format!("client sends {attempt}"));
    let Ok(mut connection) = Connection::open(gateway, Duration::from_secs(1)) else {
        return false;
    };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(10)));
    let target = format!("/alarm/{EVENTS_LEN}");
    if connection.write(&request("POST", &target, &fields, b"question")).is_err() {
        return false;
    }
    let Ok(head) = connection.head() else {
        record.line(&format!("client gets no answer for {attempt}"));
        return false;
    };
    let mut body = Vec::new();
    let is_complete = loop {
        match connection.chunk() {
            Ok(chunk) if chunk.is_empty() => break true,
            Ok(chunk) => body.extend(chunk),
            Err(error) => {
                record.line(&format!("{attempt} is broken off: {error}"));
                break false;
            }
        }
    };
    let is_last = find(&body, format!("piece {EVENTS_LEN}\n\n").as_bytes()).is_some();
    let events = body.windows(2).filter(|pair| pair == b"\n\n").count();
    record.line(&format!(
        "client gets {} for {attempt}: {events} of {EVENTS_LEN} events, complete: {is_complete}",
        head.status()
    ));
    head.status() == 200 && is_complete && !is_last
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-alarm","host":"advisor.example","prefix":"/alarm/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"advisor","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":250}],"services":[{"name":"advisor","healthPath":"/health","maxConnections":434,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":36.0,"engine":{"slots":16,"kvCapacityTokens":315000,"kvTokenBytes":163840,"linkMbps":400000.0,"stride":51,"models":[{"name":"m"}],"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"usual":{"prompt":11094,"answer":1622},"hopMs":0.05}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-one","apiKeys":["key-one"],"priority":1}]}"#;
