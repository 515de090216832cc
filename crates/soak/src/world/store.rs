//! A stand-in for the platform's store.

use super::no_answer::NoAnswer;
use crate::history::Clock;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use persimmon_core::units::{Millis, Time};
use persimmon_platform::stub_formats::{
    page_body, transaction_body, RowCondition, RowPut, StoreCall, StoredRow,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};

/// Time of a call.
const CALL_PAUSE: Duration = Duration::from_millis(4);

/// Time of a call while the store is slow.
const SLOW_PAUSE: Duration = Duration::from_millis(300);

/// Time for which a late call waits until it is carried out.
const LATE_PAUSE: Duration = Duration::from_millis(1_500);

/// One in so many calls goes wrong while answers are lost.
const LOST_EVERY: u64 = 3;

/// How the store fares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum StoreMode {
    /// It answers.
    #[default]
    Up,
    /// It refuses all calls, and upstreams can't write.
    Down,
    /// It answers late.
    Slow,
    /// It does what it is told and now and then gives no answer, or does it seconds later.
    LosesAnswers,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<(String, String), StoredRow>,
    changes: Vec<StoredRow>,
    forgotten_until: u64,
    mode: StoreMode,
    calls_count: u64,
}

/// A stand-in for the platform's store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    clock: Clock,
    rows: Arc<Mutex<Rows>>,
    version: Arc<watch::Sender<u64>>,
}

type Answer = Result<Response<Full<Bytes>>, NoAnswer>;

impl Store {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            rows: Arc::default(),
            version: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Serves on a free port.
    pub(crate) async fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| store.answer(request));
                    let connection = http1::Builder::new();
                    let served = connection.serve_connection(TokioIo::new(stream), service);
                    // A caller that is gone needs no answer.
                    let _ = served.await;
                });
            }
        });
        Ok(address)
    }

    pub(crate) fn set(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    pub(crate) fn mode(&self) -> StoreMode {
        self.lock().mode
    }

    /// Drops its history: changes so far can't be asked for any more.
    pub(crate) fn forget(&self) {
        let mut rows = self.lock();
        rows.forgotten_until = *self.version.borrow();
        rows.changes.clear();
    }

    /// Writes a row.
    pub(crate) fn put(&self, (table, key, value): (&str, String, Vec<u8>)) {
        self.change(table, key, Some(value));
    }

    /// Removes a row.
    pub(crate) fn remove(&self, table: &str, key: String) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: String, value: Option<Vec<u8>>) {
        let mut rows = self.lock();
        let version = *self.version.borrow() + 1;
        let row = StoredRow {
            table: table.to_owned(),
            key: key.clone(),
            value,
            version,
        };
        rows.changes.push(row.clone());
        if row.value.is_some() {
            rows.rows.insert((table.to_owned(), key), row);
        } else {
            rows.rows.remove(&(table.to_owned(), key));
        }
        self.version.send_replace(version);
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| NoAnswer)?.to_bytes();
        let Some(call) = StoreCall::parse(&head.method, &head.uri, &body) else {
            return Ok(plain(StatusCode::BAD_REQUEST, String::new()));
        };
        let (mode, loses) = self.fate();
        match mode {
            StoreMode::Down => return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, String::new())),
            StoreMode::Slow => sleep(SLOW_PAUSE).await,
            StoreMode::LosesAnswers if loses => {
                let store = self.clone();
                tokio::spawn(async move {
                    sleep(LATE_PAUSE).await;
                    // Nobody waits for the answer.
                    drop(store.carry_out(call).await);
                });
                return Err(NoAnswer);
            }
            StoreMode::Up | StoreMode::LosesAnswers => sleep(CALL_PAUSE).await,
        }
        let answer = self.carry_out(call).await;
        if self.mode() == StoreMode::Down {
            return Err(NoAnswer);
        }
        Ok(answer)
    }

    fn fate(&self) -> (StoreMode, bool) {
        let mut rows = self.lock();
        rows.calls_count += 1;
        (rows.mode, rows.calls_count % LOST_EVERY == 0)
    }

    async fn carry_out(&self, call: StoreCall) -> Response<Full<Bytes>> {
        match call {
            StoreCall::Rows { table, from_key } => {
                let rows = self.lock();
                let all = rows.rows.values();
                let shown: Vec<_> = all
                    .filter(|row| row.table == table && row.key >= from_key)
                    .cloned()
                    .collect();
                let version = *self.version.borrow();
                plain(StatusCode::OK, page_body(&shown, version, self.steady_ms()))
            }
            StoreCall::Changes {
                table,
                after,
                wait_ms,
            } => self.changes(&table, after, wait_ms).await,
            StoreCall::Write { expected, puts } => self.write(&expected, puts),
        }
    }

    async fn changes(&self, table: &str, after: u64, wait_ms: Millis) -> Response<Full<Bytes>> {
        let mut version = self.version.subscribe();
        let first = async {
            loop {
                let seen = *version.borrow_and_update();
                if self.lock().forgotten_until > after {
                    return None;
                }
                let shown = self.changes_after(table, after);
                if !shown.is_empty() || version.changed().await.is_err() {
                    return Some((seen, shown));
                }
            }
        };
        match timeout(wait_ms.duration(), first).await {
            Ok(None) => plain(StatusCode::GONE, String::new()),
            Ok(Some((seen, shown))) => {
                plain(StatusCode::OK, page_body(&shown, seen, self.steady_ms()))
            }
            Err(_) => {
                let seen = *self.version.borrow();
                plain(
                    StatusCode::OK,
                    page_body(&[], seen.max(after), self.steady_ms()),
                )
            }
        }
    }

    fn changes_after(&self, table: &str, after: u64) -> Vec<StoredRow> {
        let rows = self.lock();
        let changes = rows.changes.iter();
        changes
            .filter(|row| row.table == table && row.version > after)
            .cloned()
            .collect()
    }

    fn write(&self, expected: &[RowCondition], puts: Vec<RowPut>) -> Response<Full<Bytes>> {
        let holds = {
            let rows = self.lock();
            expected.iter().all(|row| {
                let known = rows.rows.get(&(row.table.clone(), row.key.clone()));
                known.map_or(0, |known| known.version) == row.version
            })
        };
        if !holds {
            return plain(
                StatusCode::PRECONDITION_FAILED,
                page_body(&[], 0, self.steady_ms()),
            );
        }
        for put in puts {
            self.change(&put.table, put.key, Some(put.value));
        }
        let version = *self.version.borrow();
        plain(StatusCode::OK, transaction_body(version, self.steady_ms()))
    }

    fn steady_ms(&self) -> Millis {
        self.clock.now().since(Time::START)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn plain(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
