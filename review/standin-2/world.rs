//! Gateways as processes, their paths to the store, servers, and clients.

use crate::{http, store::Store};
use std::{
    fs::{self, File},
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// What was sent, answered and run.
#[derive(Clone, Debug)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

/// A path from one gateway to the store, which can be cut: nothing passes until it is mended.
#[derive(Debug)]
pub struct StorePath {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl StorePath {
    pub fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(store) else {
                    continue;
                };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let cut = Arc::clone(&cut);
                        thread::spawn(move || pass(from, to, &cut));
                    }
                }
            }
        });
        Self { address, is_cut }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

/// Passes bytes on until either side ends. Held bytes are passed on when a cut is mended.
fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut bytes = vec![0; 64 << 10];
    while let Ok(len) = from.read(&mut bytes) {
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        if len == 0 || to.write_all(&bytes[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// A gateway's process and what it is started with.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub store_path: StorePath,
    program: PathBuf,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Gateway {
    /// Writes the settings of a gateway, as `deploy/gateway.json` fills them in for a small deployment.
    pub fn prepare(name: &str, zone: &str, store: &Store, root: &Path, folder: &Path) -> Self {
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_port());
        let store_path = StorePath::start(store.address);
        let settings = format!(
            r#"{{"vm": "{name}", "domain": "{zone}",
 "listen": {{"callers": "{callers}", "readiness": "{readiness}", "metrics": "{metrics}", "peers": "{peers}"}},
 "store": "{}", "descriptors_max_len": 4100,
 "dispatch": {{"revoke_ms": 5000, "memory_free_ms": 4000, "memory_idle_max_ms": 9000, "gaps": {{}},
  "memory": {{"vm_limit_mib": 260}}, "retry_ratio": 0.2, "retry_allowance_requests": 106, "retry_window_s": 10,
  "grace_s": 8}}}}"#,
            store_path.address
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings");
        Self {
            name: name.to_owned(),
            callers,
            readiness,
            store_path,
            program: root.join("target/release/persimmon-gateway"),
            root: root.to_owned(),
            settings: path,
            log: folder.join(format!("{name}.log")),
            process: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("log");
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.process = Some(command.spawn().expect("the gateway's program"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "ready".to_owned())];
        let time = Duration::from_millis(500);
        let answer = http::request(self.readiness, "GET /api/readiness", &headers, time);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateway says that it is ready; false if it does not.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        self.wait();
    }
}

/// A port that is free for TCP and UDP, below those that the system gives to connections: a gateway that starts again
/// needs its port once more.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let offset = (std::process::id() as u16 % 40) * 250;
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + (offset + number) % 12_000));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// A server that answers each request at once. It records the ids of those that it runs.
#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    runs: Mutex<Vec<String>>,
    record: Record,
}

impl Server {
    pub fn start(id: &str, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: unix_ms(),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Registers the server in the store.
    pub fn register(&self, store: &Store, service: &str, zone: &str) {
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            self.address, self.born
        );
        store.put("servers", &self.id, &entry);
    }

    pub fn has_run(&self, request: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run == request)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let id = request.header("attempt-id").unwrap_or("").to_owned();
            let mut headers = vec![("Attempt-Id", id.clone())];
            if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
                headers.push(("Not-Executed", "1".to_owned()));
                let _ = http::respond(&mut writer, 421, &headers, b"");
                continue;
            }
            self.record.line(&format!("server {} runs {id}", self.id));
            self.runs.lock().unwrap().push(id.clone());
            headers.push(("Response-Stamp", format!("{}.{id}", self.id)));
            if http::respond(&mut writer, 200, &headers, b"done").is_err() {
                return;
            }
        }
    }
}

pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

/// A client, which sends each request on a new connection.
#[derive(Debug)]
pub struct Client {
    record: Record,
    last_id: AtomicU64,
}

impl Client {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            last_id: AtomicU64::new(0),
        }
    }

    /// Sends a request with a key. Returns its id and the status of the answer, 0 if there was none.
    pub fn ask(&self, gateway: &Gateway, key: &str) -> (String, u16) {
        let number = self.last_id.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("Attempt-Id", id.clone()),
            ("Deadline-Ms", "1000".to_owned()),
            ("Key", key.to_owned()),
        ];
        self.record
            .line(&format!("client sends {id} with key {key} to {}", gateway.name));
        let time = Duration::from_millis(1_500);
        let answer = http::request(gateway.callers, "GET /orders/1", &headers, time);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(&format!("client gets {status} for {id}"));
        (id, status)
    }
}

/// A configuration with one idempotent route and these keys.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},
"routes":[{{"name":"orders","host":"desk.example","prefix":"/orders/","service":"desk","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"maxAttempts":2,"priority":2}}],
"services":[{{"name":"desk","healthPath":"/health","maxConnections":4000}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"shop","apiKeys":[{}]}}]}}"#,
        keys.join(",")
    )
}
