//! A part of a prompt crashes each server that begins to write an answer on it.

use super::{figure, Setup};
use crate::{
    client,
    deployment::{self, Gateway, TempFolder},
    http::{self, Message},
    record::Record,
    server::{self, Behaviour, Connection, Incarnation, Next, Spec},
    store::Store,
};
use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["taichung-a", "taichung-b", "changhua-c"];
const ENGINES_LEN: usize = 9;
const STABILITY_WINDOW_S: f64 = 3.0;
const CRASHES: usize = 5;
const MAX_LATER: usize = 3;

/// The id of the part that crashes servers.
const CRASHING: &str = "dead0001";

#[derive(Default)]
struct Seen {
    /// When requests with the part reached servers.
    arrivals: Vec<f64>,
    /// When servers crashed.
    crashes: Vec<f64>,
    sound_runs: u64,
}

struct Engine {
    record: Record,
    seen: Arc<Mutex<Seen>>,
    /// Whether the engine writes its first event before it crashes.
    event_first: bool,
}

impl Engine {
    fn event(number: usize) -> Vec<u8> {
        format!("id: {number}\ndata: {}\n\n", "x".repeat(40)).into_bytes()
    }

    fn head(server: &Incarnation, id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nInstance-Load: 1,0,16\r\n\r\n",
            server.id
        )
    }
}

impl Behaviour for Engine {
    fn serve(&self, server: &Incarnation, request: &Message, connection: &mut Connection) -> Next {
        let stream = &mut connection.stream;
        if request.path() == "/api/order" {
            let answer = http::encode("HTTP/1.1 409 Conflict", &[], b"{\"free\":0}");
            return next(stream.write_all(&answer));
        }
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let parts = request.header("prompt-prefix").unwrap_or("");
        let crashes = parts.split(',').any(|part| part.starts_with(CRASHING));
        self.record.line(&format!(
            "request {id} reaches {}{}",
            server.id,
            if crashes {
                ", it has the crashing part"
            } else {
                ""
            }
        ));
        if crashes {
            self.seen.lock().unwrap().arrivals.push(self.record.now());
        }
        // The prompt is read.
        thread::sleep(Duration::from_millis(40));
        if server.is_down() {
            return Next::Close;
        }
        if crashes {
            if self.event_first {
                let _ = stream.write_all(Self::head(server, &id).as_bytes());
                let _ = http::write_chunk(stream, &Self::event(1));
                thread::sleep(Duration::from_millis(5));
            }
            self.record
                .line(&format!("server {} crashes at {id}", server.id));
            self.seen.lock().unwrap().crashes.push(self.record.now());
            return Next::Crash;
        }
        self.seen.lock().unwrap().sound_runs += 1;
        let written = stream
            .write_all(Self::head(server, &id).as_bytes())
            .and_then(|()| {
                for number in 1..=6 {
                    http::write_chunk(stream, &Self::event(number))?;
                    thread::sleep(Duration::from_millis(40));
                }
                stream.write_all(b"0\r\n\r\n")
            });
        next(written)
    }
}

fn next(written: std::io::Result<()>) -> Next {
    if written.is_ok() {
        Next::KeepOpen
    } else {
        Next::Close
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-alarm","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":250}}],"services":[{{"name":"huvo11a","healthPath":"/health","maxConnections":434,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"engine":{}}}],"limits":{},"tenants":{}}}"#,
        deployment::engine(315_000, 16),
        deployment::LIMITS,
        deployment::TENANTS
    )
}

/// The parts of a prompt. The crashing part, or a sound one in its place, is the last but one; the very last
/// belongs to the request alone.
fn prompt_parts(number: u64, shared_len: u64, marked: &str, own_tokens: u64) -> (String, u64) {
    let mut parts: Vec<String> = (0..shared_len)
        .map(|index| format!("5c1e{index:04x}:40"))
        .collect();
    parts.push(format!("{marked}:40"));
    parts.push(format!("9a{number:08x}:{own_tokens}"));
    (parts.join(","), (shared_len + 1) * 40 + own_tokens)
}

struct Request {
    number: u64,
    parts: String,
    tokens: u64,
    address: SocketAddr,
}

impl Request {
    /// Sends the request, and returns whether it got its whole answer.
    fn send(&self, record: &Record) -> bool {
        let id = format!("{:016x}", self.number);
        let counts = format!("{},300", self.tokens);
        let headers = [
            ("Host", "ficu95.example"),
            ("Attempt-Id", id.as_str()),
            ("Model", "m"),
            ("Token-Counts", counts.as_str()),
            ("Prompt-Prefix", self.parts.as_str()),
            ("Deadline-Ms", "10000"),
            ("Key", deployment::KEY),
        ];
        record.line(&format!("client sends {id}, parts {}", self.parts));
        let body = format!("question {}", self.number);
        let first = "POST /lohu930/2f HTTP/1.1";
        let limit = Duration::from_secs(11);
        let answer = client::call(self.address, first, &headers, body.as_bytes(), limit);
        record.line(&format!("client gets {id}: {}", answer.summary()));
        answer.status == 200 && answer.complete
    }
}

/// What the requests with the part look like, and how servers crash.
pub struct Variant {
    /// Parts before the crashing one.
    pub shared_parts: u64,
    /// Whether a server crashes after its first event, rather than before.
    pub event_first: bool,
    /// Requests that are sent at the same moment.
    pub burst: u64,
    pub every_ms: u64,
    /// Tokens of the last part.
    pub own_tokens: u64,
}

/// The part has 17 others before it.
pub const MANY_PARTS: Variant = Variant {
    shared_parts: 17,
    event_first: false,
    burst: 1,
    every_ms: 2_000,
    own_tokens: 900,
};

/// Servers crash when they have written their first event.
pub const FIRST_EVENT: Variant = Variant {
    shared_parts: 2,
    event_first: true,
    ..MANY_PARTS
};

/// Twelve requests come at the same moment.
pub const BURST: Variant = Variant {
    shared_parts: 2,
    burst: 12,
    every_ms: 4_500,
    own_tokens: 60_000,
    ..MANY_PARTS
};

pub fn run(setup: &Setup, variant: &Variant) -> Result<bool, String> {
    // The environment gives other figures for trials.
    let shared_len = figure("SHARED_PARTS", variant.shared_parts);
    let duration = Duration::from_secs(figure("DURATION_S", 30));
    let event_first = figure("EVENT_FIRST", u64::from(variant.event_first)) == 1;
    let record = Record::create(&setup.folder)?;
    let temp = TempFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &config());
    let seen = Arc::new(Mutex::new(Seen::default()));
    for index in 0..ENGINES_LEN {
        let spec = Spec {
            name: format!("e{index}"),
            service: "huvo11a",
            zone: ZONES[index % ZONES.len()],
            slots: 16,
            down: Duration::from_secs(3),
        };
        let engine = Arc::new(Engine {
            record: record.clone(),
            seen: Arc::clone(&seen),
            event_first,
        });
        server::start(spec, &store, &record, engine)?;
    }
    let mut gateways = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let name = format!("front-{zone}-{index}");
        gateways.push(Gateway::start(
            &name,
            zone,
            &setup.gateway,
            &temp.0,
            &store,
        )?);
    }
    deployment::wait_ready(&gateways)?;
    record.say(&format!(
        "{ENGINES_LEN} engines, {} gateways, {shared_len} shared parts before the marked one, trouble: {}",
        gateways.len(),
        setup.trouble
    ));
    let served = Arc::new(AtomicU64::new(0));
    let sound_sent = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + duration;
    let burst = figure("BURST", variant.burst);
    let marked_every = Duration::from_millis(figure("EVERY_MS", variant.every_ms));
    let marked_tokens = figure("OWN_TOKENS", variant.own_tokens);
    let mut marked_at = Instant::now() + marked_every;
    let mut number = 0;
    let mut threads = Vec::new();
    while Instant::now() < until {
        // Ten sound requests a second, and now and then some with the marked part.
        let mut marks = vec![false];
        if Instant::now() >= marked_at {
            marked_at += marked_every;
            marks.resize(1 + burst as usize, true);
        }
        for is_marked in marks {
            number += 1;
            let marked = if is_marked && setup.trouble {
                CRASHING
            } else {
                "5c1effff"
            };
            let own_tokens = if is_marked { marked_tokens } else { 900 };
            let (parts, tokens) = prompt_parts(number, shared_len, marked, own_tokens);
            let request = Request {
                number,
                parts,
                tokens,
                address: gateways[number as usize % gateways.len()].callers,
            };
            let (record, served, sound_sent) =
                (record.clone(), Arc::clone(&served), Arc::clone(&sound_sent));
            threads.push(thread::spawn(move || {
                let is_served = request.send(&record);
                if !is_marked {
                    sound_sent.fetch_add(1, Ordering::SeqCst);
                    served.fetch_add(u64::from(is_served), Ordering::SeqCst);
                }
            }));
        }
        thread::sleep(Duration::from_millis(100));
    }
    for thread in threads {
        let _ = thread.join();
    }
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err("a gateway has ended".to_owned());
        }
    }
    let seen = seen.lock().unwrap();
    let sent = sound_sent.load(Ordering::SeqCst);
    let whole = served.load(Ordering::SeqCst);
    record.say(&format!(
        "{} requests with the crashing part reached servers, {} crashes; {whole} of {sent} sound requests were served",
        seen.arrivals.len(),
        seen.crashes.len()
    ));
    if !setup.trouble {
        return Ok(seen.crashes.is_empty() && whole * 100 >= sent * 99);
    }
    let Some(fifth) = seen.crashes.get(CRASHES - 1).or(seen.crashes.last()) else {
        return Err("no server crashed".to_owned());
    };
    let from = fifth + STABILITY_WINDOW_S;
    let later = seen.arrivals.iter().filter(|at| **at > from).count();
    record.say(&format!(
        "fifth (or last) crash at {fifth:.3} s; {later} requests with the part reached servers later than {from:.3} s, {MAX_LATER} are allowed"
    ));
    Ok(later <= MAX_LATER)
}
