//! A stand-in for a server of a plain service: it runs what it is sent and answers with its stamp.

use crate::{http, record::Record, store::Store};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval at which a server writes its entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Requests that a server runs at the same time.
const SLOTS_LEN: usize = 16;

/// Time for which a server that crashed is down.
const CRASH_TIME: Duration = Duration::from_millis(1_500);

/// A request that was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
}

pub struct Server {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born_ms: u128,
    sequence: AtomicUsize,
    running_len: AtomicUsize,
    runs: Mutex<Vec<Run>>,
    /// When requests arrived.
    arrivals: Mutex<Vec<Duration>>,
    cold_until: Instant,
    /// Requests within a second that the server bears while it is cold; it crashes at more.
    cold_bears_len: usize,
    down_until: Mutex<Option<Instant>>,
    record: Arc<Record>,
    store: Store,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Self::start_with(id, service, zone, (Duration::ZERO, 0), store, record)
    }

    /// Starts a server that is cold for a time, and bears so many requests within a second meanwhile.
    pub fn start_with(
        id: &str,
        service: &str,
        zone: &str,
        (cold_for, cold_bears_len): (Duration, usize),
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            born_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
            sequence: AtomicUsize::new(0),
            running_len: AtomicUsize::new(0),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            cold_until: Instant::now() + cold_for,
            cold_bears_len,
            down_until: Mutex::default(),
            record: Arc::clone(record),
            store: store.clone(),
        });
        server.beat();
        let beating = Arc::clone(&server);
        thread::spawn(move || loop {
            thread::sleep(BEAT);
            beating.beat();
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        server
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Loses power for good. Its entry stays until three heartbeats are missed.
    pub fn lose_power(&self) {
        *self.down_until.lock().unwrap() = Some(Instant::now() + Duration::from_secs(3_600));
        self.record.line(&format!("server {} loses power", self.id));
        let (store, id) = (self.store.clone(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(BEAT * 3);
            store.remove("servers", &id);
        });
    }

    /// When requests arrived, other than those that expected another server.
    pub fn arrivals(&self) -> Vec<Duration> {
        self.arrivals.lock().unwrap().clone()
    }

    fn cold_left(&self) -> Duration {
        self.cold_until.saturating_duration_since(Instant::now())
    }

    fn is_down(&self) -> bool {
        let until = *self.down_until.lock().unwrap();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Counts an arrival; a cold server crashes at too many within a second.
    fn count_arrival(&self) {
        let now = self.record.now();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push(now);
        let recent = arrivals.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < Duration::from_secs(1));
        let recent_len = recent.count();
        if !self.cold_left().is_zero() && recent_len > self.cold_bears_len && !self.is_down() {
            *self.down_until.lock().unwrap() = Some(Instant::now() + CRASH_TIME);
            self.record.line(&format!(
                "server {} crashes: {recent_len} requests within a second while it is cold",
                self.id
            ));
        }
    }

    fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold_ms = self.cold_left().as_millis();
        let Self {
            service,
            address,
            zone,
            born_ms,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{SLOTS_LEN},\"state\":\"ready\",\"coldRemainingMs\":{cold_ms},\"sequence\":{sequence},\"born\":{born_ms}}}"
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            if self.is_down() {
                return Ok(());
            }
            let answer = self.answer(&request);
            if self.is_down() {
                let attempt = request.header("attempt-id").unwrap_or("");
                self.record
                    .line(&format!("the answer to {attempt} is lost in the crash"));
                return Ok(());
            }
            writer.write_all(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = [("Attempt-Id", attempt.as_str()), ("Instance-Id", &self.id)];
            return http::response("421 Misdirected Request", &headers, b"");
        }
        self.count_arrival();
        if self.running_len.fetch_add(1, Ordering::SeqCst) >= SLOTS_LEN {
            self.running_len.fetch_sub(1, Ordering::SeqCst);
            self.record.line(&format!(
                "server {} is full and turns {attempt} away",
                self.id
            ));
            let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            return http::response("503 Service Unavailable", &headers, b"");
        }
        let tenant = request.header("tenant").unwrap_or("").to_owned();
        self.record.line(&format!(
            "server {} runs {attempt} ({}), tenant {tenant}",
            self.id, request.first
        ));
        self.runs.lock().unwrap().push(Run {
            attempt: attempt.clone(),
        });
        thread::sleep(WORK_TIME);
        self.running_len.fetch_sub(1, Ordering::SeqCst);
        let len = request
            .query("bytes")
            .and_then(|text| text.parse().ok())
            .unwrap_or(800);
        let stamp = format!("{}.{attempt}", self.id);
        let headers = [("Attempt-Id", attempt.as_str()), ("Response-Stamp", &stamp)];
        http::response("200 OK", &headers, &vec![b'x'; len])
    }
}
