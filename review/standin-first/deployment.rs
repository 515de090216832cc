//! Gateways as separate processes, and their settings and configuration.

use crate::store::Store;
use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// A gateway process.
pub struct Gateway {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, and with what its template makes of the
    /// settings of a small deployment.
    pub fn start(
        name: &str,
        zone: &str,
        program: &Path,
        folder: &Path,
        store: &Store,
    ) -> Result<Self, String> {
        let callers = free_port()?;
        let (readiness, metrics, peers) = (free_port()?, free_port()?, free_udp_port()?);
        let settings = format!(
            r#"{{
  "vm": "{name}",
  "domain": "{zone}",
  "listen": {{"callers": "{callers}", "readiness": "{readiness}", "metrics": "{metrics}", "peers": "{peers}"}},
  "store": "{}",
  "descriptors_max_len": 4100,
  "dispatch": {{
    "revoke_ms": 5000,
    "memory_free_ms": 4000,
    "memory_idle_max_ms": 9000,
    "gaps": {{}},
    "memory": {{"vm_limit_mib": 260}},
    "retry_ratio": 0.2,
    "retry_allowance_requests": 106,
    "retry_window_s": 10,
    "grace_s": 8
  }}
}}
"#,
            store.address
        );
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &path, &log)?;
        Ok(Self {
            callers,
            readiness,
            program: program.to_owned(),
            settings: path,
            log,
            child,
        })
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the readiness address answers 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(
                b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            )?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Result<Child, String> {
    let log = File::options().create(true).append(true).open(log);
    let log = log.map_err(|error| error.to_string())?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("{}: {error}", program.display()))
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) -> Result<(), String> {
    let status = Command::new("sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("kill: {status}")),
        Err(error) => Err(format!("kill: {error}")),
    }
}

/// Waits until all gateways are ready, and a little longer for the links between them.
pub fn wait_ready(gateways: &[Gateway]) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(15);
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > until {
            return Err("the gateways are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(6));
    Ok(())
}

fn free_port() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

fn free_udp_port() -> Result<SocketAddr, String> {
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    socket.local_addr().map_err(|error| error.to_string())
}

/// A temporary folder, removed when this is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> Result<Self, String> {
        let base = std::env::temp_dir();
        let path = base.join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Limits of callers, as in the examples of the pages.
pub const LIMITS: &str = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;

/// The tenant and key of all callers.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANTS: &str = r#"[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]"#;

/// The engines of the small deployment of the pages, with a memory of their own.
pub fn engine(kv_tokens: u64, slots: u32) -> String {
    format!(
        r#"{{"slots":{slots},"kvCapacityTokens":{kv_tokens},"kvTokenBytes":163840,"linkMbps":400000.0,"stride":51,"models":[{{"name":"m"}}],"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":11094,"answer":1622}},"hopMs":0.05}}"#
    )
}
