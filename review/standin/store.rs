//! A stand-in for the platform's store. Each gateway calls it at a port of its own, so that it can turn single
//! machines away.

use crate::{http, json};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Latency of a call.
const CALL_TIME: Duration = Duration::from_millis(4);

type Key = (String, String);

#[derive(Clone, Default)]
struct Rows(BTreeMap<Key, (Vec<u8>, u64)>);

/// A copy of the rows.
#[derive(Clone)]
pub struct Copy {
    rows: Rows,
    version: u64,
}

#[derive(Default)]
struct State {
    era: u64,
    version: u64,
    rows: Rows,
    changes: Vec<(u64, Key, Option<Vec<u8>>)>,
    history_from: u64,
    down: bool,
    turned_away: Vec<bool>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            start: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Opens a port for one gateway.
    pub fn listen(&self) -> (SocketAddr, usize) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut state = self.lock();
        state.turned_away.push(false);
        let port = state.turned_away.len() - 1;
        drop(state);
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream, port);
                });
            }
        });
        (address, port)
    }

    /// Whether calls at a port get 503.
    pub fn turn_away(&self, port: usize, away: bool) {
        self.lock().turned_away[port] = away;
        self.state.1.notify_all();
    }

    /// Whether all calls get 503.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.state.1.notify_all();
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), key.to_owned());
        let value = value.as_bytes().to_vec();
        state.rows.0.insert(key.clone(), (value.clone(), version));
        state.changes.push((version, key, Some(value)));
        self.state.1.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), key.to_owned());
        state.rows.0.remove(&key);
        state.changes.push((version, key, None));
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Comes back from a copy, in the next era.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.era += 1;
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.history_from = copy.version;
        state.changes.clear();
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, port: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = http::read(&mut reader)? {
            thread::sleep(CALL_TIME);
            let (status, body) = self.answer(&call, port);
            let era = self.lock().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            writer.write_all(&http::response(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn is_away(state: &State, port: usize) -> bool {
        state.down || state.turned_away[port]
    }

    fn answer(&self, call: &http::Message, port: usize) -> (&'static str, String) {
        let unavailable = ("503 Service Unavailable", String::new());
        if Self::is_away(&self.lock(), port) {
            return unavailable;
        }
        let target = call.word(1);
        let table = call.query("table").unwrap_or_default();
        if target.starts_with("/api/rows-get") {
            let from = call.query("from").unwrap_or_default();
            let state = self.lock();
            let rows = state.rows.0.iter();
            let rows = rows.filter(|((t, key), _)| *t == table && *key >= from);
            let rows: Vec<_> = rows
                .map(|(key, (value, version))| row(key, Some(value), *version))
                .collect();
            return ("200 OK", self.page(&rows, state.version));
        }
        if target.starts_with("/api/rows-feed") {
            let number = |key| call.query(key).and_then(|text| text.parse::<u64>().ok());
            let after = number("after").unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
            let mut state = self.lock();
            let era = state.era;
            loop {
                if Self::is_away(&state, port) {
                    return unavailable;
                }
                if state.era != era || state.history_from > after || state.version < after {
                    return ("410 Gone", String::new());
                }
                let changes = state.changes.iter();
                let changes =
                    changes.filter(|(version, (t, _), _)| *t == table && *version > after);
                let rows: Vec<_> = changes
                    .map(|(version, key, value)| row(key, value.as_ref(), *version))
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !rows.is_empty() || left.is_zero() {
                    return ("200 OK", self.page(&rows, state.version));
                }
                state = self.state.1.wait_timeout(state, left).unwrap().0;
            }
        }
        if target.starts_with("/api/rows-tx") {
            return self.transaction(&String::from_utf8_lossy(&call.body));
        }
        ("404 Not Found", String::new())
    }

    fn transaction(&self, body: &str) -> (&'static str, String) {
        let Some(call) = json::parse(body) else {
            return ("400 Bad Request", String::new());
        };
        let key_of = |entry: &json::Json| (entry.text("table"), entry.text("key"));
        let mut state = self.lock();
        let mut found = Vec::new();
        let mut holds = true;
        for expected in call.list("expected") {
            let key = key_of(expected);
            let known = state.rows.0.get(&key);
            holds &= known.map_or(0, |(_, version)| *version) == expected.number("ver");
            if let Some((value, version)) = known {
                found.push(row(&key, Some(value), *version));
            }
        }
        if !holds {
            return ("412 Precondition Failed", self.page(&found, state.version));
        }
        state.version += 1;
        let version = state.version;
        for put in call.list("puts") {
            let key = key_of(put);
            let value = json::from_base64(&put.text("value"));
            state.rows.0.insert(key.clone(), (value.clone(), version));
            state.changes.push((version, key, Some(value)));
        }
        self.state.1.notify_all();
        let now_ms = self.start.elapsed().as_millis();
        (
            "200 OK",
            format!("{{\"ver\":{version},\"nowMs\":{now_ms}}}"),
        )
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now_ms = self.start.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"morePages\":false,\"ver\":{version},\"nowMs\":{now_ms}}}")
    }
}

fn row((table, key): &Key, value: Option<&Vec<u8>>, version: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{}\"", json::to_base64(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{rest}}}")
}
