//! A request crashes each server that begins to run it. It comes again with the same path, caller and body, and with
//! another query each time.

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
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["taichung-a", "taichung-b", "changhua-c"];
const DESKS_LEN: usize = 6;
const STABILITY_WINDOW_S: f64 = 3.0;
const CRASHES: usize = 3;
const MAX_LATER: usize = 3;
const CRASHING_BODY: &[u8] = b"the request that crashes";

#[derive(Default)]
struct Seen {
    arrivals: Vec<f64>,
    crashes: Vec<f64>,
}

struct Desk {
    record: Record,
    seen: Arc<Mutex<Seen>>,
}

impl Behaviour for Desk {
    fn serve(&self, server: &Incarnation, request: &Message, connection: &mut Connection) -> Next {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let crashes = request.body == CRASHING_BODY;
        self.record.line(&format!(
            "request {id} reaches {}: {} {}",
            server.id,
            request.method(),
            request.target()
        ));
        if crashes {
            self.seen.lock().unwrap().arrivals.push(self.record.now());
        }
        thread::sleep(Duration::from_millis(20));
        if server.is_down() {
            return Next::Close;
        }
        if crashes {
            self.record
                .line(&format!("server {} crashes at {id}", server.id));
            self.seen.lock().unwrap().crashes.push(self.record.now());
            return Next::Crash;
        }
        let stamp = format!("{}.{id}", server.id);
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Response-Stamp", stamp.as_str()),
        ];
        let answer = http::encode("HTTP/1.1 200 OK", &headers, b"status");
        match connection.stream.write_all(&answer) {
            Ok(()) => Next::KeepOpen,
            Err(_) => Next::Close,
        }
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-status","host":"ficu95.example","prefix":"/cufi504/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false}}],"services":[{{"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{},"tenants":{}}}"#,
        deployment::LIMITS,
        deployment::TENANTS
    )
}

pub fn run(setup: &Setup) -> Result<bool, String> {
    let record = Record::create(&setup.folder)?;
    let temp = TempFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &config());
    let seen = Arc::new(Mutex::new(Seen::default()));
    for index in 0..DESKS_LEN {
        let spec = Spec {
            name: format!("d{index}"),
            service: "wuno96b",
            zone: ZONES[index % ZONES.len()],
            slots: 6,
            down: Duration::from_secs(3),
        };
        let desk = Arc::new(Desk {
            record: record.clone(),
            seen: Arc::clone(&seen),
        });
        server::start(spec, &store, &record, desk)?;
    }
    let mut gateways = Vec::new();
    for zone in ZONES {
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
    let varies = figure("VARY_QUERY", 1) == 1;
    let until = Instant::now() + Duration::from_secs(figure("DURATION_S", 30));
    let mut number = 0_u64;
    let (mut sound, mut served) = (0, 0);
    while Instant::now() < until {
        number += 1;
        let crashes = number % 20 == 0;
        let body = if crashes && setup.trouble {
            CRASHING_BODY
        } else {
            b"a sound request"
        };
        let query = if varies { number } else { 1 };
        let first = format!("POST /cufi504/2f?n={query} HTTP/1.1");
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "ficu95.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "2500"),
            ("Key", deployment::KEY),
        ];
        let address = gateways[number as usize % gateways.len()].callers;
        record.line(&format!("client sends {id}: {first}"));
        let answer = client::call(address, &first, &headers, body, Duration::from_secs(3));
        record.line(&format!("client gets {id}: {}", answer.summary()));
        if !crashes {
            sound += 1;
            served += u32::from(answer.status == 200 && answer.complete);
        }
        thread::sleep(Duration::from_millis(80));
    }
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err("a gateway has ended".to_owned());
        }
    }
    let seen = seen.lock().unwrap();
    record.say(&format!(
        "the crashing request reached servers {} times, {} crashes; {served} of {sound} sound requests were served",
        seen.arrivals.len(),
        seen.crashes.len()
    ));
    if !setup.trouble {
        return Ok(seen.crashes.is_empty() && served == sound);
    }
    let Some(third) = seen.crashes.get(CRASHES - 1) else {
        return Ok(true);
    };
    let from = third + STABILITY_WINDOW_S;
    let later = seen.arrivals.iter().filter(|at| **at > from).count();
    record.say(&format!(
        "third crash at {third:.3} s; it reached servers {later} times later than {from:.3} s, {MAX_LATER} are allowed"
    ));
    Ok(later <= MAX_LATER)
}
