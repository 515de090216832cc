//! A small deployment on loopback addresses: gateways as processes, the store, servers as processes, and the record of
//! what was sent, answered and run.

use crate::store::Store;
use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The record of a run, with times from its start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("review-3-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Ports below those that the system gives to outgoing connections, so that none is taken before its process binds it.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns the next address at which `bind` succeeds. Each is given out once.
fn next_address<T>(bind: impl Fn(SocketAddr) -> std::io::Result<T>) -> SocketAddr {
    let first = std::process::id() * 131;
    for _ in PORTS {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (first + step) % PORTS.len() as u32;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}

pub fn free_address() -> SocketAddr {
    next_address(TcpListener::bind)
}

fn free_udp_address() -> SocketAddr {
    next_address(UdpSocket::bind)
}

/// A gateway, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    pub fn start(folder: &Folder, name: &str, zone: &str, store: SocketAddr) -> Self {
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let peers = free_udp_address();
        let settings = folder.0.join(format!("{name}.json"));
        // As deploy/gateway.json has it, with the figures of the sheet.
        let text = format!(
            r#"{{"vm":"{name}","domain":"{zone}",
              "listen":{{"callers":"{callers}","readiness":"{readiness}","metrics":"{metrics}","peers":"{peers}"}},
              "store":"{store}","descriptors_max_len":4100,
              "dispatch":{{"revoke_ms":5000,"memory_free_ms":4000,"memory_idle_max_ms":9000,"gaps":{{}},
              "memory":{{"vm_limit_mib":260}},"retry_ratio":0.2,"retry_allowance_requests":106,
              "retry_window_s":10,"grace_s":8}}}}"#
        );
        fs::write(&settings, text).expect("settings can be written");
        let mut gateway = Self {
            name: name.to_owned(),
            callers,
            readiness,
            log: folder.0.join(format!("{name}.log")),
            settings,
            child: None,
        };
        gateway.spawn();
        gateway
    }

    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log can be written");
        let errors = log.try_clone().expect("the log's second handle");
        let program = std::env::var("GATEWAY");
        let program = program.unwrap_or_else(|_| "target/release/persimmon-gateway".to_owned());
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the gateway was built"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The child is not waited for yet, so that its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let request = crate::http::request("GET", "/api/readiness", &[("Host", "ready")], b"");
            let limit = Duration::from_millis(500);
            let answer = crate::http::Connection::open(self.readiness, limit)
                .and_then(|mut c| crate::http::exchange(&mut c, &request, limit));
            if answer.is_ok_and(|answer| answer.head.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or_default();
        println!("{} was not ready within 10 s; its last line: {last}", self.name);
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A row of a server in the store.
pub struct Entry<'a> {
    pub service: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub slots: u32,
    pub state: &'a str,
    pub sequence: u64,
    pub born: u64,
}

impl Entry<'_> {
    pub fn text(&self) -> String {
        let Self {
            service,
            address,
            zone,
            slots,
            state,
            sequence,
            born,
        } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,"sequence":{sequence},"born":{born}}}"#
        )
    }
}

/// A server as a process of its own, which is started again some seconds after it has crashed.
pub struct Server {
    stop: Arc<Mutex<bool>>,
    process: Arc<Mutex<Option<u32>>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// What a server's process tells on its standard output.
pub type Sink = Arc<dyn Fn(&str, &str) + Send + Sync>;

/// Settings of a server's process.
#[derive(Clone)]
pub struct ServerSettings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub back_after: Duration,
    /// The behaviour, as `main.rs` names it.
    pub mode: String,
}

impl Server {
    pub fn start(store: &Store, settings: ServerSettings, sink: Sink) -> Self {
        let stop = Arc::new(Mutex::new(false));
        let (store, stopped) = (store.clone(), Arc::clone(&stop));
        let process = Arc::<Mutex<Option<u32>>>::default();
        let running = Arc::clone(&process);
        let address = free_address();
        let thread = thread::spawn(move || {
            let mut start = 0;
            while !*stopped.lock().unwrap() {
                start += 1;
                run_server(&store, &settings, address, start, &sink, (&stopped, &running));
                let until = Instant::now() + settings.back_after;
                while Instant::now() < until && !*stopped.lock().unwrap() {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        Self {
            stop,
            process,
            thread: Some(thread),
        }
    }

    /// What ends the process that runs now, as a crash does.
    pub fn killer(&self) -> impl Fn() + Send + Sync + 'static {
        let process = Arc::clone(&self.process);
        move || {
            if let Some(id) = *process.lock().unwrap() {
                // The process has not been waited for while its id stands here.
                unsafe { kill(id as i32, SIGKILL) };
            }
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        *self.stop.lock().unwrap() = true;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_server(
    store: &Store,
    settings: &ServerSettings,
    address: SocketAddr,
    start: u32,
    sink: &Sink,
    (stopped, process): (&Mutex<bool>, &Mutex<Option<u32>>),
) {
    let id = format!("{}-{start}", settings.name);
    let program = std::env::current_exe().expect("the program's path");
    let child = Command::new(program)
        .args(["server", &id, &address.to_string(), &settings.mode])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn();
    let mut child = child.expect("a server can be started");
    *process.lock().unwrap() = Some(child.id());
    let out = child.stdout.take().expect("its output");
    let (told, teller) = (Arc::clone(sink), id.clone());
    let reader = thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            told(&teller, &line);
        }
    });
    let born = unix_ms();
    let mut sequence = 0;
    let mut beat_at = Instant::now();
    loop {
        {
            let mut process = process.lock().unwrap();
            if !matches!(child.try_wait(), Ok(None)) {
                *process = None;
                break;
            }
        }
        if *stopped.lock().unwrap() {
            *process.lock().unwrap() = None;
            let _ = child.kill();
            let _ = child.wait();
            break;
        }
        if Instant::now() >= beat_at {
            sequence += 1;
            beat_at = Instant::now() + HEARTBEAT;
            let entry = Entry {
                service: &settings.service,
                address,
                zone: &settings.zone,
                slots: settings.slots,
                state: "ready",
                sequence,
                born,
            };
            store.put("servers", &id, &entry.text());
        }
        thread::sleep(Duration::from_millis(5));
    }
    let _ = reader.join();
    // The entry is removed after three intervals of silence.
    let store = store.clone();
    thread::spawn(move || {
        thread::sleep(HEARTBEAT * 3);
        store.remove("servers", &id);
    });
}
