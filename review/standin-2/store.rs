//! A stand-in for the platform's store: tables of rows, conditional writes, and a feed of changes with long polling.

use crate::{
    http::{self, Message},
    json::Json,
};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Latency of a call.
const CALL_DELAY: Duration = Duration::from_millis(4);

/// Most rows in one answer.
const PAGE_MAX_LEN: usize = 500;

/// A row; its value is base64 text.
#[derive(Debug)]
struct Row {
    value: String,
    ver: u64,
}

type Rows = BTreeMap<(String, String), Row>;

#[derive(Debug, Default)]
struct State {
    ver: u64,
    rows: Rows,
    /// Changes by version; no value if the row was removed.
    history: Vec<(u64, String, String, Option<String>)>,
    /// Number of reads of all rows, by table.
    reads: BTreeMap<String, u64>,
}

#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            address: listener.local_addr().expect("an address"),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or a server does. The write is acknowledged when this returns.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = crate::json::base64(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state.ver += 1;
        state.write(table, key, Some(value));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read(&mut reader) {
            thread::sleep(CALL_DELAY);
            let (status, body) = self.answer(&call);
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "0".to_owned()),
            ];
            if http::respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (_, target) = call.call();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<_, _> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decoded(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/api/rows-get" => self.rows(&text("table"), &text("from")),
            "/api/rows-feed" => {
                let number = |name: &str| text(name).parse().unwrap_or(0);
                self.feed(&text("table"), number("after"), number("waitMs"))
            }
            "/api/rows-tx" => {
                let body = std::str::from_utf8(&call.body).unwrap_or("");
                match Json::parse(body) {
                    Some(body) => self.transaction(&body),
                    None => (400, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    /// How often all rows of a table were read.
    pub fn reads_len(&self, table: &str) -> u64 {
        let state = self.state.lock().unwrap();
        state.reads.get(table).copied().unwrap_or_default()
    }

    fn rows(&self, table: &str, from: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        *state.reads.entry(table.to_owned()).or_default() += 1;
        let start = (table.to_owned(), from.to_owned());
        let of_table = state.rows.range(start..);
        let mut rows: Vec<_> = of_table
            .take_while(|((of, _), _)| of == table)
            .take(PAGE_MAX_LEN + 1)
            .map(|((_, key), row)| row_json(table, key, Some(&row.value), row.ver))
            .collect();
        let has_more = rows.len() > PAGE_MAX_LEN;
        rows.truncate(PAGE_MAX_LEN);
        let body = format!(
            r#"{{"rows":[{}],"morePages":{has_more},"ver":{},"nowMs":{}}}"#,
            rows.join(","),
            state.ver,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.ver {
                return (410, "{}".to_owned());
            }
            let changes = state.history.iter();
            let rows: Vec<_> = changes
                .filter(|(ver, of, _, _)| *ver > after && of == table)
                .map(|(ver, _, key, value)| row_json(table, key, value.as_deref(), *ver))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"rows":[{}],"ver":{},"nowMs":{}}}"#,
                    rows.join(","),
                    state.ver,
                    self.now_ms()
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> (u16, String) {
        let name = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expected").list();
        let held = expected.iter().all(|row| {
            let found = state.rows.get(&name(row));
            found.map_or(0, |found| found.ver) == row.get("ver").number() as u64
        });
        if !held {
            let found = expected.iter().filter_map(|row| {
                let (table, key) = name(row);
                let found = state.rows.get(&(table.clone(), key.clone()))?;
                Some(row_json(&table, &key, Some(&found.value), found.ver))
            });
            let found: Vec<_> = found.collect();
            let body = format!(r#"{{"rows":[{}],"ver":{}}}"#, found.join(","), state.ver);
            return (412, body);
        }
        state.ver += 1;
        for row in body.get("puts").list() {
            let (table, key) = name(row);
            let value = row.get("value").text().to_owned();
            state.write(&table, &key, Some(value));
        }
        for row in body.get("remove").list() {
            let (table, key) = name(row);
            state.write(&table, &key, None);
        }
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{},"nowMs":{}}}"#, state.ver, self.now_ms()))
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }
}

impl State {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        let ver = self.ver;
        let name = (table.to_owned(), key.to_owned());
        match value.clone() {
            Some(value) => drop(self.rows.insert(name, Row { value, ver })),
            None => drop(self.rows.remove(&name)),
        }
        self.history
            .push((ver, table.to_owned(), key.to_owned(), value));
    }
}

fn row_json(table: &str, key: &str, value: Option<&str>, ver: u64) -> String {
    match value {
        Some(value) => {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{ver}}}"#)
        }
        None => {
            format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{ver},"removed":true}}"#)
        }
    }
}

/// Decodes a value of a query.
fn decoded(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<_> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
