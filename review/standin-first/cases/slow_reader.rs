//! A gateway is stopped by plan while a caller reads a long answer over a slow line.

use super::{figure, Setup};
use crate::{
    deployment::{self, Gateway, TempFolder},
    http::{self, Message},
    record::Record,
    server::{self, Behaviour, Connection, Incarnation, Next, Spec},
    store::Store,
};
use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const GRACE: Duration = Duration::from_secs(8);
const EVENT_BYTES: usize = 4_000;
const REQUEST_ID: &str = "9c41d07be2a35f68";

struct Engine {
    record: Record,
    events_len: usize,
    /// When the engine had written its whole answer.
    done_at: Arc<Mutex<Option<f64>>>,
}

fn event(number: usize) -> Vec<u8> {
    let mut event = format!("id: {number}\ndata: ").into_bytes();
    event.resize(EVENT_BYTES - 2, b'x');
    event.extend_from_slice(b"\n\n");
    event
}

impl Behaviour for Engine {
    fn serve(&self, server: &Incarnation, request: &Message, connection: &mut Connection) -> Next {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        self.record.line(&format!("server {} runs {id}", server.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            server.id
        );
        let stream = &mut connection.stream;
        let written = stream.write_all(head.as_bytes()).and_then(|()| {
            for number in 1..=self.events_len {
                http::write_chunk(stream, &event(number))?;
                if number % 10 == 0 {
                    thread::sleep(Duration::from_millis(2));
                }
            }
            stream.write_all(b"0\r\n\r\n")
        });
        self.record.say(&format!(
            "server {} has written its whole answer: {}",
            server.id,
            written.is_ok()
        ));
        *self.done_at.lock().unwrap() = Some(self.record.now());
        match written {
            Ok(()) => Next::KeepOpen,
            Err(_) => Next::Close,
        }
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-digest","host":"ficu95.example","prefix":"/pufi791/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":3000,"priority":1,"service":"huvo11a","maxAttempts":1,"public":false,"sticky":true,"canResume":false,"gapTargetMs":1000}}],"services":[{{"name":"huvo11a","healthPath":"/health","maxConnections":434,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"engine":{}}}],"limits":{},"tenants":{}}}"#,
        deployment::engine(315_000, 16),
        deployment::LIMITS,
        deployment::TENANTS
    )
}

/// Reads the answer at `per_s` bytes a second. Returns the bytes of its body and whether it was whole.
fn read_slowly(stream: TcpStream, per_s: f64) -> (usize, bool) {
    let mut reader = BufReader::with_capacity(4_096, stream);
    if !matches!(http::read_head(&mut reader), Ok(Some(head)) if head.status() == 200) {
        return (0, false);
    }
    let start = Instant::now();
    let mut received = 0;
    loop {
        match http::read_chunk(&mut reader) {
            Ok(Some(chunk)) => received += chunk.len(),
            Ok(None) => return (received, true),
            Err(_) => return (received, false),
        }
        let due = Duration::from_secs_f64(received as f64 / per_s);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
}

pub fn run(setup: &Setup) -> Result<bool, String> {
    let record = Record::create(&setup.folder)?;
    let temp = TempFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &config());
    let events_len = figure("ANSWER_KB", 12_000) as usize * 1_000 / EVENT_BYTES;
    let done_at = Arc::new(Mutex::new(None));
    let spec = Spec {
        name: "e0".to_owned(),
        service: "huvo11a",
        zone: "taichung-a",
        slots: 16,
        down: Duration::from_secs(3),
    };
    let engine = Arc::new(Engine {
        record: record.clone(),
        events_len,
        done_at: Arc::clone(&done_at),
    });
    server::start(spec, &store, &record, engine)?;
    let mut gateways = Vec::new();
    for zone in ["taichung-a", "taichung-b"] {
        let name = format!("front-{zone}-1");
        gateways.push(Gateway::start(
            &name,
            zone,
            &setup.gateway,
            &temp.0,
            &store,
        )?);
    }
    deployment::wait_ready(&gateways)?;
    let mut stream = TcpStream::connect(gateways[0].callers).map_err(|e| e.to_string())?;
    let headers = [
        ("Host", "ficu95.example"),
        ("Attempt-Id", REQUEST_ID),
        ("Model", "m"),
        ("Token-Counts", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,e4402b7d:660"),
        ("Deadline-Ms", "15000"),
        ("Key", deployment::KEY),
    ];
    let request = http::encode("POST /pufi791/2f HTTP/1.1", &headers, b"digest");
    stream.write_all(&request).map_err(|e| e.to_string())?;
    record.say(&format!("the caller sends {REQUEST_ID}"));
    let per_s = figure("READ_KB_PER_S", 1_600) as f64 * 1_000.0;
    let reading = thread::spawn(move || read_slowly(stream, per_s));
    thread::sleep(Duration::from_millis(50));
    if setup.trouble {
        deployment::signal(gateways[0].pid(), "TERM")?;
        record.say("the gateway gets SIGTERM");
    }
    let stopped = Instant::now();
    while !reading.is_finished() && stopped.elapsed() < Duration::from_secs(15) {
        if setup.trouble && stopped.elapsed() >= GRACE && !gateways[0].has_ended() {
            gateways[0].kill();
            record.say("the gateway gets SIGKILL at the end of the grace period");
        }
        thread::sleep(Duration::from_millis(10));
    }
    let took = stopped.elapsed().as_secs_f64();
    let (received, whole) = reading.join().map_err(|_| "the caller failed".to_owned())?;
    let sent = events_len * EVENT_BYTES;
    let done_at = done_at
        .lock()
        .unwrap()
        .ok_or("the server has not written its answer")?;
    record.say(&format!(
        "the caller has {received} of {sent} bytes, whole: {whole}, {took:.2} s after the signal was due; the server was done {:.2} s before that",
        record.now() - done_at
    ));
    Ok(whole && received == sent)
}
