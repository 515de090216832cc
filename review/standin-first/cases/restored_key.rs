//! The store comes back from a copy in which a key is still held that was taken away, and a gateway starts again.

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
    time::Duration,
};

const ZONES: [&str; 3] = ["taichung-a", "taichung-b", "changhua-c"];
const REVOKE_S: f64 = 5.0;

/// The key that is taken away.
const REVOKED: &str = "anfqasnmgkcuyj8pjbvk";

/// Requests that servers have run: when, and their ids.
type Runs = Arc<Mutex<Vec<(f64, String)>>>;

struct Desk {
    record: Record,
    runs: Runs,
}

impl Behaviour for Desk {
    fn serve(&self, server: &Incarnation, request: &Message, connection: &mut Connection) -> Next {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let tenant = request.header("tenant").unwrap_or("-");
        self.record.line(&format!(
            "server {} runs {id} for tenant {tenant}",
            server.id
        ));
        self.runs
            .lock()
            .unwrap()
            .push((self.record.now(), id.clone()));
        thread::sleep(Duration::from_millis(15));
        let stamp = format!("{}.{id}", server.id);
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Response-Stamp", stamp.as_str()),
        ];
        let answer = http::encode("HTTP/1.1 200 OK", &headers, b"done");
        match connection.stream.write_all(&answer) {
            Ok(()) => Next::KeepOpen,
            Err(_) => Next::Close,
        }
    }
}

fn config(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-order","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false}}],"services":[{{"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{},"tenants":[{{"name":"hule930","apiKeys":[{keys}],"priority":1}}]}}"#,
        deployment::LIMITS
    )
}

fn send(record: &Record, gateway: &Gateway, id: &str, key: &str) -> u16 {
    let headers = [
        ("Host", "ficu95.example"),
        ("Attempt-Id", id),
        ("Deadline-Ms", "1000"),
        ("Key", key),
    ];
    record.line(&format!("client sends {id} with key {key}"));
    let first = "POST /puxa403/2f HTTP/1.1";
    let limit = Duration::from_secs(2);
    let answer = client::call(gateway.callers, first, &headers, b"order", limit);
    record.line(&format!("client gets {id}: {}", answer.summary()));
    answer.status
}

pub fn run(setup: &Setup) -> Result<bool, String> {
    let record = Record::create(&setup.folder)?;
    let temp = TempFolder::create()?;
    let store = Store::start().map_err(|error| error.to_string())?;
    let both = format!(r#""{}","{REVOKED}""#, deployment::KEY);
    let one = format!(r#""{}""#, deployment::KEY);
    store.put("op", "config", &config(7, &both));
    let runs = Runs::default();
    for index in 0..3 {
        let spec = Spec {
            name: format!("d{index}"),
            service: "wuno96b",
            zone: ZONES[index],
            slots: 6,
            down: Duration::from_secs(3),
        };
        let desk = Arc::new(Desk {
            record: record.clone(),
            runs: Arc::clone(&runs),
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
    for (index, gateway) in gateways.iter().enumerate() {
        if send(&record, gateway, &format!("a{index:015x}"), REVOKED) != 200 {
            return Err("the key is not served before it is taken away".to_owned());
        }
    }
    let copy = store.copy();
    thread::sleep(Duration::from_millis(1_000));
    store.put("op", "config", &config(8, &one));
    let acknowledged = record.now();
    record.say("configuration 8 takes the key away");
    thread::sleep(Duration::from_secs_f64(REVOKE_S + 1.0));
    // Of the gateways, the one at this place starts again.
    let index = figure("RESTARTED", 1) as usize;
    let kills = setup.trouble && figure("KILL", 1) == 1;
    let restores = setup.trouble && figure("RESTORE", 1) == 1;
    if restores {
        store.set_away(true);
        record.say("the store is away");
    }
    if kills {
        gateways[index].kill();
        record.say(&format!("gateway {index} is killed"));
        thread::sleep(Duration::from_millis(300));
        gateways[index].restart()?;
        record.say(&format!("gateway {index} starts again"));
    }
    if restores {
        thread::sleep(Duration::from_millis(700));
        store.restore(&copy);
        store.set_away(false);
        record.say("the store is back, from a copy that is 8 s old");
    }
    let back = record.now();
    let rewrite_s = figure("REWRITE_MS", 2_000) as f64 / 1_000.0;
    let mut rewritten = false;
    let mut number = 0;
    while record.now() < back + rewrite_s + 3.0 {
        if !rewritten && record.now() >= back + rewrite_s {
            rewritten = true;
            if restores {
                store.put("op", "config", &config(8, &one));
                record.say("the operator has written configuration 8 again");
            }
        }
        for gateway in &gateways {
            number += 1;
            send(&record, gateway, &format!("b{number:015x}"), REVOKED);
            send(
                &record,
                gateway,
                &format!("c{number:015x}"),
                deployment::KEY,
            );
        }
        thread::sleep(Duration::from_millis(40));
    }
    for gateway in &mut gateways {
        if gateway.has_ended() {
            return Err("a gateway has ended".to_owned());
        }
    }
    let runs = runs.lock().unwrap();
    let stale: Vec<_> = runs.iter().filter(|(_, id)| id.starts_with('b')).collect();
    let sound = runs.iter().filter(|(_, id)| id.starts_with('c')).count();
    record.say(&format!(
        "{} requests with the key that was taken away ran, the first {:.3} s and the last {:.3} s after the acknowledgement; {sound} with the other key",
        stale.len(),
        stale.first().map_or(0.0, |(at, _)| at - acknowledged),
        stale.last().map_or(0.0, |(at, _)| at - acknowledged),
    ));
    Ok(stale.is_empty())
}
