//! A client that reads slowly gets its answer while the machine is stopped.

use crate::{
    http::{request, response, set_receive_buffer, Connection},
    lab::{unix_ms, Entry, Folder, Gateway, Record, SIGTERM},
    store::Store,
};
use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

const BODY_BYTES: usize = 1_000_000;
/// What the client reads at once, and how often.
const PIECE_BYTES: usize = 9_900;
const PIECE_TIME: Duration = Duration::from_millis(100);
const GRACE: Duration = Duration::from_secs(8);
const CLIENTS_LEN: usize = 4;

pub fn run(record_path: &str, has_trouble: bool) -> i32 {
    let record = Record::create(record_path);
    let Ok(store) = Store::start() else { return 2 };
    let Ok(server) = serve(&record) else { return 2 };
    let folder = Folder::create();
    store.put("op", "config", CONFIG);
    let entry = Entry {
        service: "orders",
        address: server,
        zone: "zone-a",
        slots: 6,
        state: "ready",
        sequence: 1,
        born: unix_ms(),
    };
    store.put("servers", "i-0", &entry.text());
    let mut gateway = Gateway::start(&folder, "front-0", "zone-a", store.address);
    if !gateway.wait_ready() {
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let address = gateway.callers;
    let clients = (0..CLIENTS_LEN).map(|client| {
        let record = record.clone();
        thread::spawn(move || read_slowly(&record, address, client))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        record.line("SIGTERM");
        gateway.signal(SIGTERM);
        let sent_at = Instant::now();
        while !gateway.has_ended() && sent_at.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!("the process ended {} ms after SIGTERM", sent_at.elapsed().as_millis()));
    }
    let results: Vec<_> = clients.into_iter().map(|client| client.join()).collect();
    let broken = results.iter().filter(|result| !matches!(result, Ok(Ok(())))).count();
    let summary = format!("{broken} of {CLIENTS_LEN} answers were not complete");
    record.line(&summary);
    println!("{summary}");
    i32::from(broken > 0)
}

/// Reads an answer at a steady, low rate.
fn read_slowly(record: &Record, gateway: SocketAddr, client: usize) -> io::Result<()> {
    let mut connection = Connection::open(gateway, Duration::from_secs(1))?;
    set_receive_buffer(&connection.stream, 16 << 10);
    let attempt = format!("a{client:015}");
    let fields = [
        ("Host", "orders.example"),
        ("Attempt-Id", attempt.as_str()),
        ("Deadline-Ms", "15000"),
        ("Key", "key-one"),
    ];
    record.line(&format!("client sends {attempt}"));
    connection.write(&request("GET", "/status/1", &fields, b""))?;
    let head = connection.head()?;
    let mut read_len = connection.ahead.len();
    let mut next_at = Instant::now();
    let mut piece = vec![0; PIECE_BYTES];
    while read_len < BODY_BYTES {
        let left = (BODY_BYTES - read_len).min(PIECE_BYTES);
        if let Err(error) = connection.stream.read_exact(&mut piece[..left]) {
            record.line(&format!("{attempt}: broken off after {read_len} bytes and more: {error}"));
            return Err(error);
        }
        read_len += left;
        next_at += PIECE_TIME;
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    record.line(&format!("{attempt}: {} complete", head.status()));
    Ok(())
}

/// A sound server with a long answer.
fn serve(record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(head) = connection.head() {
                    let attempt = head.get("attempt-id").unwrap_or_default();
                    let fields = [("Attempt-Id", attempt), ("Response-Stamp", "stamp.1")];
                    let body = vec![b'x'; BODY_BYTES];
                    if connection.write(&response("200 OK", &fields, &body)).is_err() {
                        return;
                    }
                    record.line(&format!("server has answered {attempt} with {BODY_BYTES} bytes"));
                }
            });
        }
    });
    Ok(address)
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-status","host":"orders.example","prefix":"/status/","kind":"idempotent","timeoutMs":15000,"targetLatencyMs":3000,"priority":2,"service":"orders","maxAttempts":2,"public":false}],"services":[{"name":"orders","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-one","apiKeys":["key-one"],"priority":1}]}"#;
