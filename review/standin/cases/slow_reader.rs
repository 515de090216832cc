//! A gateway is stopped by plan while a caller reads its answer slowly.

use super::{figure, Setup};
use crate::{
    deployment::{self, Gateway, TempFolder},
    http::{self, Message},
    record::Record,
    server::{self, Behaviour, Connection, Incarnation, Next, Spec},
    store::Store,
};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::Duration,
};

struct Desk {
    record: Record,
    bytes: usize,
}

impl Behaviour for Desk {
    fn serve(&self, server: &Incarnation, request: &Message, connection: &mut Connection) -> Next {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        self.record.line(&format!("server {} runs {id}", server.id));
        thread::sleep(Duration::from_millis(15));
        let stamp = format!("{}.{id}", server.id);
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Response-Stamp", stamp.as_str()),
        ];
        let body = vec![b'x'; self.bytes];
        let answer = http::encode("HTTP/1.1 200 OK", &headers, &body);
        let written = connection.stream.write_all(&answer);
        self.record.line(&format!(
            "server {} has written its answer to {id}: {written:?}",
            server.id
        ));
        match written {
            Ok(()) => Next::KeepOpen,
            Err(_) => Next::Close,
        }
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-order","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":10000,"targetLatencyMs":150,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false}}],"services":[{{"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{},"tenants":{}}}"#,
        deployment::LIMITS,
        deployment::TENANTS
    )
}

pub fn run(setup: &Setup) -> Result<bool, String> {
    let record = Record::create(&setup.folder)?;
    let temp = TempFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &config());
    let bytes = figure("ANSWER_KB", 1000) as usize * 1000;
    let spec = Spec {
        name: "d0".to_owned(),
        service: "wuno96b",
        zone: "taichung-a",
        slots: 6,
        down: Duration::from_secs(3),
    };
    let desk = Arc::new(Desk {
        record: record.clone(),
        bytes,
    });
    server::start(spec, &store, &record, desk)?;
    let name = "front-taichung-a-1";
    let gateway = Gateway::start(name, "taichung-a", &setup.gateway, &temp.0, &store)?;
    let mut gateways = vec![gateway];
    deployment::wait_ready(&gateways)?;
    let mut stream = TcpStream::connect(gateways[0].callers).map_err(|e| e.to_string())?;
    let id = "00000000000000a1";
    let headers = [
        ("Host", "ficu95.example"),
        ("Attempt-Id", id),
        ("Deadline-Ms", "10000"),
        ("Key", deployment::KEY),
    ];
    let request = http::encode("POST /puxa403/2f HTTP/1.1", &headers, b"order");
    stream.write_all(&request).map_err(|e| e.to_string())?;
    record.line(&format!("client sends {id}"));
    thread::sleep(Duration::from_millis(200));
    if setup.trouble {
        deployment::signal(gateways[0].pid(), "TERM")?;
        record.say("SIGTERM");
    }
    let stopped = record.now();
    // The caller takes bytes from time to time.
    let every = Duration::from_millis(figure("READ_EVERY_MS", 100));
    let piece = figure("READ_BYTES", 14_000) as usize;
    let mut received = 0;
    let mut buffer = vec![0; piece];
    let error = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break "end".to_owned(),
            Ok(len) => received += len,
            Err(error) => break error.to_string(),
        }
        if received > bytes {
            break "whole".to_owned();
        }
        let since = record.now() - stopped;
        // Later, it reads all that comes.
        if since < figure("SLOW_MS", 7_000) as f64 / 1_000.0 {
            thread::sleep(every);
        }
    };
    record.say(&format!(
        "the caller got {received} bytes of a body of {bytes}, {:.2} s after the signal: {error}; the gateway has ended: {}",
        record.now() - stopped,
        gateways[0].has_ended()
    ));
    Ok(received > bytes)
}
