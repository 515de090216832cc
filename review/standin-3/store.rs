//! A stand-in for the platform's metadata store.

use crate::{
    http::{response, Connection, Head},
    json::{base64, Json},
};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes of rows in one answer, as for `rows-get`. An answer has one row at least.
const ANSWER_MAX_BYTES: usize = 1 << 20;

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type Key = (String, String);

#[derive(Clone, Debug)]
struct Row {
    /// In base64; none if the row was removed.
    value: Option<String>,
    version: u64,
}

/// A copy of the store's rows.
#[derive(Clone)]
pub struct Copy {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    changes: Vec<(Key, Row)>,
    version: u64,
    history_from: u64,
    era: u64,
    is_down: bool,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
    pub address: SocketAddr,
}

/// An address at which the store can refuse all calls.
pub struct Door {
    pub address: SocketAddr,
    is_refusing: Arc<AtomicBool>,
}

impl Door {
    pub fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.store(is_refusing, Ordering::Relaxed);
    }
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            state: Arc::default(),
            started_at: Instant::now(),
            address: listener.local_addr()?,
        };
        store.listen(listener, Arc::default());
        Ok(store)
    }

    /// Another address of the store, at which it can refuse all calls.
    pub fn open_door(&self) -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Door {
            address: listener.local_addr()?,
            is_refusing: Arc::default(),
        };
        self.listen(listener, Arc::clone(&door.is_refusing));
        Ok(door)
    }

    fn listen(&self, listener: TcpListener, is_refusing: Arc<AtomicBool>) {
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_refusing) = (serving.clone(), Arc::clone(&is_refusing));
                thread::spawn(move || store.serve(Connection::new(stream), &is_refusing));
            }
        });
    }

    /// Writes a row, as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = Some(base64(value.as_bytes()));
        self.change(table, key, value);
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Puts a copy in place of all rows. Its versions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.era += 1;
        state.rows = copy.rows.clone();
        state.changes.clear();
        state.version = copy.version;
        state.history_from = copy.version;
        self.state.1.notify_all();
    }

    /// Drops the history of changes.
    pub fn drop_history(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.changes.clear();
        state.history_from = state.version;
        self.state.1.notify_all();
    }

    /// Names of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let keys = state.rows.keys().filter(|(known, _)| known == table);
        keys.map(|(_, key)| key.clone()).collect()
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        change_locked(&mut state, table, key, value);
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection, is_refusing: &AtomicBool) {
        while let Ok(head) = connection.head() {
            let Ok(body) = connection.body(&head) else {
                return;
            };
            thread::sleep(CALL_TIME);
            let refusal = ("503 Service Unavailable", String::new());
            let refuses = || is_refusing.load(Ordering::Relaxed) || self.state.0.lock().unwrap().is_down;
            let answer = if refuses() {
                refusal.clone()
            } else {
                self.answer(&head, &body)
            };
            // A call that was held is refused too.
            let (status, text) = if refuses() { refusal } else { answer };
            let era = self.state.0.lock().unwrap().era.to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", &*era)];
            if connection
                .write(&response(status, &fields, text.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let parameters: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let parameter = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        match path {
            "/api/rows-get" => self.rows(&parameter("table"), &parameter("from")),
            "/api/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                self.feed(&parameter("table"), after, Duration::from_millis(wait_ms))
            }
            "/api/rows-tx" => self.transaction(body),
            _ => ("400 Bad Request", String::new()),
        }
    }

    fn rows(&self, table: &str, from: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let rows = state.rows.iter();
        let rows = rows.filter(|((known, key), _)| known == table && key.as_str() >= from);
        let rows: Vec<_> = rows.map(|(key, row)| row_text(key, row)).collect();
        ("200 OK", self.page(&rows, state.version))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_down {
                return ("503 Service Unavailable", String::new());
            }
            if after < state.history_from || after > state.version {
                return ("410 Gone", String::new());
            }
            let changes = state.changes.iter();
            let changes = changes.filter(|((known, _), row)| known == table && row.version > after);
            let mut rows: Vec<String> = Vec::new();
            let (mut version, mut bytes) = (state.version, 0);
            for (key, row) in changes {
                let text = row_text(key, row);
                bytes += text.len();
                if bytes > ANSWER_MAX_BYTES && !rows.is_empty() {
                    break;
                }
                // To continue, the caller resumes from the last change in the answer.
                version = row.version;
                rows.push(text);
            }
            if bytes <= ANSWER_MAX_BYTES {
                version = state.version;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return ("200 OK", self.page(&rows, version));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &[u8]) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else {
            return ("400 Bad Request", String::new());
        };
        let mut state = self.state.0.lock().unwrap();
        let key_of = |row: &Json| (row.text("table").to_owned(), row.text("key").to_owned());
        let expected = call.list("expected");
        let holds = expected.iter().all(|row| {
            let known = state.rows.get(&key_of(row));
            known.map_or(0, |known| known.version) == row.number("ver") as u64
        });
        if !holds {
            let found = expected.iter().filter_map(|row| {
                let key = key_of(row);
                state.rows.get(&key).map(|row| row_text(&key, row))
            });
            let found: Vec<_> = found.collect();
            return ("412 Precondition Failed", self.page(&found, state.version));
        }
        let puts = call.list("puts").iter();
        if puts.clone().chain(call.list("remove")).any(|row| matches!(row.text("table"), "op" | "servers")) {
            return ("403 Forbidden", String::new());
        }
        for row in puts {
            let value = Some(row.text("value").to_owned());
            change_locked(&mut state, row.text("table"), row.text("key"), value);
        }
        for row in call.list("remove") {
            change_locked(&mut state, row.text("table"), row.text("key"), None);
        }
        self.state.1.notify_all();
        ("200 OK", self.page(&[], state.version))
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now_ms = self.started_at.elapsed().as_millis();
        format!(
            r#"{{"rows":[{}],"morePages":false,"ver":{version},"nowMs":{now_ms}}}"#,
            rows.join(",")
        )
    }
}

fn change_locked(state: &mut State, table: &str, key: &str, value: Option<String>) {
    state.version += 1;
    let row = Row {
        value,
        version: state.version,
    };
    let key = (table.to_owned(), key.to_owned());
    state.changes.push((key.clone(), row.clone()));
    if row.value.is_some() {
        state.rows.insert(key, row);
    } else {
        state.rows.remove(&key);
    }
}

fn row_text((table, key): &Key, row: &Row) -> String {
    let version = row.version;
    match &row.value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"removed":true}}"#
        ),
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
