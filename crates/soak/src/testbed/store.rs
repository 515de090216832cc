//! A stand-in for the platform's store.

use super::no_answer::NoAnswer;
use crate::history::Clock;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use persimmon_core::{
    ids::StoreEra,
    units::{Millis, Time},
};
use persimmon_platform::stub_formats::{
    mark_era, page_body, transaction_body, RowCondition, RowPut, StoreCall, StoredRow,
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

/// Latency of a call.
const CALL_DELAY: Duration = Duration::from_millis(4);

/// Latency of a call while the store is slow.
const SLOW_CALL_DELAY: Duration = Duration::from_millis(300);

/// Delay until a call whose answer is lost is executed.
const LATE_CALL_DELAY: Duration = Duration::from_millis(1_500);

/// One in this many calls gets no answer in [`StoreMode::LosesAnswers`].
const LOSE_EVERY: u64 = 3;

/// Most rows in an answer. The platform states no bound for changes, so that any has to do.
const ROWS_MAX_LEN: usize = 3;

/// Health of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum StoreMode {
    /// Answers normally.
    #[default]
    Up,
    /// Refuses all calls, and upstreams can't write.
    Down,
    /// Answers late.
    Slow,
    /// Drops the connection of every [`LOSE_EVERY`]th call and executes that call after
    /// [`LATE_CALL_DELAY`].
    LosesAnswers,
}

/// A copy of the store's rows.
#[derive(Clone, Debug)]
pub(crate) struct StoreCopy {
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    era: StoreEra,
    rows: BTreeMap<(String, String), StoredRow>,
    changes: Vec<StoredRow>,
    history_dropped_until: u64,
    mode: StoreMode,
    calls_count: u64,
}

/// A stand-in for the platform's store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    clock: Clock,
    state: Arc<Mutex<StoreState>>,
    version: Arc<watch::Sender<u64>>,
}

type Answer = Result<Response<Full<Bytes>>, NoAnswer>;

impl Store {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Arc::default(),
            version: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Serves on a free port and returns the address.
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
                    // Fails where the caller is gone; nothing to do then.
                    let _ = served.await;
                });
            }
        });
        Ok(address)
    }

    pub(crate) fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    pub(crate) fn mode(&self) -> StoreMode {
        self.lock().mode
    }

    /// Drops the change history: changes up to now can no longer be read.
    pub(crate) fn drop_history(&self) {
        let mut state = self.lock();
        state.history_dropped_until = *self.version.borrow();
        state.changes.clear();
    }

    /// Writes a row.
    pub(crate) fn put(&self, (table, key, value): (&str, String, Vec<u8>)) {
        self.change(table, key, Some(value));
    }

    /// Removes a row.
    pub(crate) fn remove(&self, table: &str, key: String) {
        self.change(table, key, None);
    }

    /// Copies all rows.
    pub(crate) fn copy(&self) -> StoreCopy {
        let rows = self.lock().rows.clone();
        let version = *self.version.borrow();
        StoreCopy { rows, version }
    }

    /// Replaces all rows by a copy. Versions after that of the copy are given out again.
    pub(crate) fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.era = state.era.next();
        state.rows = copy.rows.clone();
        state.changes.clear();
        state.history_dropped_until = copy.version;
        self.version.send_replace(copy.version);
    }

    /// Removes the rows of a table that were not written since a copy was restored.
    pub(crate) fn expire_copied(&self, copy: &StoreCopy, table: &str) {
        let state = self.lock();
        let copied = state.rows.values().filter(|row| {
            let in_copy = copy.rows.get(&(row.table.clone(), row.key.clone()));
            row.table == table && in_copy.is_some_and(|copied| copied.value == row.value)
        });
        let keys: Vec<_> = copied.map(|row| row.key.clone()).collect();
        drop(state);
        for key in keys {
            self.remove(table, key);
        }
    }

    fn change(&self, table: &str, key: String, value: Option<Vec<u8>>) {
        let mut state = self.lock();
        self.change_locked(&mut state, table, key, value);
    }

    fn change_locked(
        &self,
        state: &mut StoreState,
        table: &str,
        key: String,
        value: Option<Vec<u8>>,
    ) {
        let version = *self.version.borrow() + 1;
        let row = StoredRow {
            table: table.to_owned(),
            key: key.clone(),
            value,
            version,
        };
        state.changes.push(row.clone());
        if row.value.is_some() {
            state.rows.insert((table.to_owned(), key), row);
        } else {
            state.rows.remove(&(table.to_owned(), key));
        }
        self.version.send_replace(version);
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let mut answer = self.answer_call(request).await?;
        mark_era(&mut answer, self.lock().era);
        Ok(answer)
    }

    async fn answer_call(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| NoAnswer)?.to_bytes();
        let Some(call) = StoreCall::parse(&head.method, &head.uri, &body) else {
            return Ok(http_response(StatusCode::BAD_REQUEST, String::new()));
        };
        let (mode, loses_answer) = self.count_call();
        match mode {
            StoreMode::Down => {
                return Ok(http_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    String::new(),
                ))
            }
            StoreMode::Slow => sleep(SLOW_CALL_DELAY).await,
            StoreMode::LosesAnswers if loses_answer => {
                let store = self.clone();
                tokio::spawn(async move {
                    sleep(LATE_CALL_DELAY).await;
                    // The connection is closed already; only the effect matters.
                    drop(store.execute(call).await);
                });
                return Err(NoAnswer);
            }
            StoreMode::Up | StoreMode::LosesAnswers => sleep(CALL_DELAY).await,
        }
        let answer = self.execute(call).await;
        if self.mode() == StoreMode::Down {
            return Err(NoAnswer);
        }
        Ok(answer)
    }

    fn count_call(&self) -> (StoreMode, bool) {
        let mut state = self.lock();
        state.calls_count += 1;
        (state.mode, state.calls_count % LOSE_EVERY == 0)
    }

    async fn execute(&self, call: StoreCall) -> Response<Full<Bytes>> {
        match call {
            StoreCall::Rows { table, from_key } => {
                let state = self.lock();
                let all = state.rows.values();
                let mut selected = all
                    .filter(|row| row.table == table && row.key >= from_key)
                    .cloned();
                let page: Vec<_> = selected.by_ref().take(ROWS_MAX_LEN).collect();
                let more_pages = selected.next().is_some();
                let version = *self.version.borrow();
                http_response(
                    StatusCode::OK,
                    page_body(&page, more_pages, version, self.uptime_ms()),
                )
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
                if self.lock().history_dropped_until > after || seen < after {
                    return None;
                }
                let (selected, up_to) = self.changes_after(table, after);
                if !selected.is_empty() || version.changed().await.is_err() {
                    return Some((up_to.unwrap_or(seen), selected));
                }
            }
        };
        match timeout(wait_ms.duration(), first).await {
            Ok(None) => http_response(StatusCode::GONE, String::new()),
            Ok(Some((seen, selected))) => http_response(
                StatusCode::OK,
                page_body(&selected, false, seen, self.uptime_ms()),
            ),
            Err(_) => {
                let seen = *self.version.borrow();
                http_response(
                    StatusCode::OK,
                    page_body(&[], false, seen.max(after), self.uptime_ms()),
                )
            }
        }
    }

    /// The first changes of a table after a version, and the last one's version if there are more.
    fn changes_after(&self, table: &str, after: u64) -> (Vec<StoredRow>, Option<u64>) {
        let state = self.lock();
        let changes = state.changes.iter();
        let mut changes = changes
            .filter(|row| row.table == table && row.version > after)
            .cloned();
        let first: Vec<_> = changes.by_ref().take(ROWS_MAX_LEN).collect();
        let last = first.last().map(|row| row.version);
        (first, last.filter(|_| changes.next().is_some()))
    }

    /// Writes all rows, if those in `expected` have the versions that they must have. No other write comes between
    /// the check and the write.
    fn write(&self, expected: &[RowCondition], puts: Vec<RowPut>) -> Response<Full<Bytes>> {
        let mut state = self.lock();
        let found: Vec<_> = expected
            .iter()
            .map(|row| {
                let key = (row.table.clone(), row.key.clone());
                state.rows.get(&key).cloned()
            })
            .collect();
        let as_expected = expected.iter().zip(&found).all(|(row, current)| {
            row.version == current.as_ref().map_or(0, |current| current.version)
        });
        if as_expected {
            for put in puts {
                self.change_locked(&mut state, &put.table, put.key, Some(put.value));
            }
        }
        let version = *self.version.borrow();
        drop(state);
        if as_expected {
            return http_response(StatusCode::OK, transaction_body(version, self.uptime_ms()));
        }
        let found: Vec<_> = found.into_iter().flatten().collect();
        http_response(
            StatusCode::PRECONDITION_FAILED,
            page_body(&found, false, version, self.uptime_ms()),
        )
    }

    fn uptime_ms(&self) -> Millis {
        self.clock.now().since(Time::START)
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn http_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
