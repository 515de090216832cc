//! A stand-in for the platform's store: rows, their changes, and transactions.

use crate::{
    http::{self, Message},
    json::{self, Value},
};
use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// In base64; none if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Clone, Default)]
struct State {
    /// Answers state it once it is above zero.
    era: u64,
    /// Reads of earlier versions get 410.
    history_from: u64,
    version: u64,
    rows: BTreeMap<(String, String, String), Row>,
    changes: Vec<Row>,
}

/// A copy of all that the store holds.
pub struct StoreCopy(State);

struct Shared {
    state: Mutex<State>,
    away: AtomicBool,
    changed: Condvar,
    start: Instant,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new(Shared {
                state: Mutex::default(),
                away: AtomicBool::new(false),
                changed: Condvar::new(),
                start: Instant::now(),
            }),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as an operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        if self.is_away() {
            return;
        }
        self.write(table, "", key, Some(json::base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        if self.is_away() {
            return;
        }
        self.write(table, "", key, None);
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.state.lock().unwrap().clone())
    }

    /// While the store is away, it closes each connection on which a call comes.
    pub fn set_away(&self, away: bool) {
        self.shared.away.store(away, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Comes back from a copy. Versions are given out again from that of the copy.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.shared.state.lock().unwrap();
        let era = state.era + 1;
        *state = copy.0.clone();
        state.era = era;
        state.history_from = state.version;
        state.changes.clear();
    }

    fn is_away(&self) -> bool {
        self.shared.away.load(Ordering::SeqCst)
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut state = self.shared.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.apply(table, part, key, value, version);
        drop(state);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.is_away() {
                return;
            }
            let (status, body) = self.answer(&request);
            thread::sleep(CALL_TIME);
            if self.is_away() {
                return;
            }
            let first = format!("HTTP/1.1 {status} X");
            let era = self.shared.state.lock().unwrap().era.to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            let answer = http::encode(&first, &headers, body.as_bytes());
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        match (request.method(), request.path()) {
            ("GET", "/api/rows-get") => self.rows(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            ("POST", "/api/rows-tx") => self.transaction(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.shared.start.elapsed().as_millis()
    }

    fn rows(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let state = self.shared.state.lock().unwrap();
        let rows = state
            .rows
            .values()
            .filter(|row| row.table == table && row.part == part && row.key >= from);
        let rows: Vec<_> = rows.map(row_text).collect();
        let body = format!(
            r#"{{"rows":[{}],"morePages":false,"ver":{},"nowMs":{}}}"#,
            rows.join(","),
            state.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let table = request.query("table").unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.shared.state.lock().unwrap();
        loop {
            if after < state.history_from || after > state.version {
                return (410, "{}".to_owned());
            }
            if self.is_away() {
                return (503, "{}".to_owned());
            }
            let changes = state.changes.iter();
            let rows: Vec<_> = changes
                .filter(|row| row.table == table && row.version > after)
                .map(row_text)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"rows":[{}],"ver":{},"nowMs":{}}}"#,
                    rows.join(","),
                    state.version,
                    self.now_ms()
                );
                return (200, body);
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, request: &Message) -> (u16, String) {
        let Some(body) = json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.shared.state.lock().unwrap();
        let expected = body.get("expected").list();
        let differs = expected
            .iter()
            .any(|row| state.version_of(row) != row.get("ver").number() as u64);
        if differs {
            let found = expected
                .iter()
                .filter_map(|row| state.rows.get(&key_of(row)));
            let found: Vec<_> = found.map(row_text).collect();
            let text = format!(
                r#"{{"rows":[{}],"ver":{},"nowMs":{}}}"#,
                found.join(","),
                state.version,
                self.now_ms()
            );
            return (412, text);
        }
        state.version += 1;
        let version = state.version;
        for row in body.get("puts").list() {
            let (table, part, key) = key_of(row);
            let value = Some(row.get("value").text().to_owned());
            state.apply(&table, &part, &key, value, version);
        }
        for row in body.get("remove").list() {
            let (table, part, key) = key_of(row);
            state.apply(&table, &part, &key, None, version);
        }
        drop(state);
        self.shared.changed.notify_all();
        let text = format!(r#"{{"ver":{version},"nowMs":{}}}"#, self.now_ms());
        (200, text)
    }
}

impl State {
    fn version_of(&self, row: &Value) -> u64 {
        self.rows.get(&key_of(row)).map_or(0, |row| row.version)
    }

    fn apply(&mut self, table: &str, part: &str, key: &str, value: Option<String>, version: u64) {
        let row = Row {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
            value,
            version,
        };
        let id = (table.to_owned(), part.to_owned(), key.to_owned());
        if row.value.is_some() {
            self.rows.insert(id, row.clone());
        } else {
            self.rows.remove(&id);
        }
        self.changes.push(row);
    }
}

fn key_of(row: &Value) -> (String, String, String) {
    let text = |name| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_text(row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    format!(
        r#"{{"table":"{}","part":"{}","key":"{}","ver":{},{rest}}}"#,
        row.table, row.part, row.key, row.version
    )
}
