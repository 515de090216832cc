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
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Interval at which a server writes its entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(30);

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
    slots_len: usize,
    /// One in so many answers is sent a second time, late; 0 for none.
    doubles_each: usize,
    running_len: AtomicUsize,
    answers_count: AtomicUsize,
    runs: Mutex<Vec<Run>>,
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
        Self::start_with(id, service, zone, 6, 0, store, record)
    }

    /// Starts a server with so many slots that sends one in `doubles_each` answers a second time.
    pub fn start_with(
        id: &str,
        service: &str,
        zone: &str,
        slots_len: usize,
        doubles_each: usize,
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
            slots_len,
            doubles_each,
            running_len: AtomicUsize::new(0),
            answers_count: AtomicUsize::new(0),
            runs: Mutex::default(),
            record: Arc::clone(record),
            store: store.clone(),
        });
        server.beat(1);
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(BEAT);
                beating.beat(sequence);
            }
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

    fn beat(&self, sequence: u64) {
        let Self {
            service,
            address,
            zone,
            born_ms,
            slots_len,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots_len},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born_ms}}}"
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut second: Option<Vec<u8>> = None;
        while let Some(request) = http::read(&mut reader)? {
            if let Some(bytes) = second.take() {
                let attempt = request.header("attempt-id").unwrap_or("");
                self.record.line(&format!(
                    "server {} sends an earlier answer a second time, as {attempt} has come",
                    self.id
                ));
                writer.write_all(&bytes)?;
            }
            let answer = self.answer(&request);
            writer.write_all(&answer)?;
            let count = self.answers_count.fetch_add(1, Ordering::Relaxed);
            if self.doubles_each > 0 && count % self.doubles_each == 0 {
                second = Some(answer);
            }
        }
        Ok(())
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return http::response("421 Misdirected Request", &[("Instance-Id", &self.id)], b"");
        }
        if self.running_len.fetch_add(1, Ordering::SeqCst) >= self.slots_len {
            self.running_len.fetch_sub(1, Ordering::SeqCst);
            self.record.line(&format!(
                "server {} is full and turns {attempt} away",
                self.id
            ));
            return http::response("503 Service Unavailable", &[("Not-Executed", "1")], b"");
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
