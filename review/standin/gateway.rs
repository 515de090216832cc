//! Gateways as processes, started with the command of the deploy file.

use crate::{http, record::Record};
use std::{
    fs::{self, File, OpenOptions},
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

/// A loopback address of this run alone, so that its ports meet neither those of other runs nor those of outgoing
/// connections.
fn own_ip() -> Ipv4Addr {
    let [_, _, high, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | high >> 1, low, 1 + (high & 1))
}

fn tcp_address() -> SocketAddr {
    let listener = TcpListener::bind((own_ip(), 0)).unwrap();
    listener.local_addr().unwrap()
}

fn udp_address() -> SocketAddr {
    let socket = UdpSocket::bind((own_ip(), 0)).unwrap();
    socket.local_addr().unwrap()
}

impl Gateway {
    /// Writes the settings as the template of the deploy file does, and starts the process.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Self {
        let (front, ready, metrics, peers) =
            (tcp_address(), tcp_address(), tcp_address(), udp_address());
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"vm\": \"{name}\", \"domain\": \"{zone}\",\n \"listen\": {{\"callers\": \"{front}\", \
             \"readiness\": \"{ready}\", \"metrics\": \"{metrics}\", \"peers\": \"{peers}\"}},\n \
             \"store\": \"{store}\", \"descriptors_max_len\": 4100,\n \"dispatch\": {{\"revoke_ms\": 5000, \
             \"memory_free_ms\": 4000, \"memory_idle_max_ms\": 9000, \"gaps\": {{}}, \
             \"memory\": {{\"vm_limit_mib\": 260}}, \"retry_ratio\": 0.2, \"retry_allowance_requests\": 106, \
             \"retry_window_s\": 10, \"grace_s\": 8}}}}\n"
        );
        fs::write(&settings, text).unwrap();
        let mut gateway = Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            record: Arc::clone(record),
        };
        gateway.spawn();
        gateway
    }

    pub fn spawn(&mut self) {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let mut command = Command::new("target/release/persimmon-gateway");
        command.arg("--settings").arg(&self.settings);
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log);
        self.child = Some(
            command
                .spawn()
                .expect("the gateway can't be started: build it first"),
        );
        self.record.line(&format!("gateway {} starts", self.name));
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("gateway {} is killed (SIGKILL)", self.name));
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
            self.record
                .line(&format!("gateway {} gets signal {signal}", self.name));
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(
                b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
            )?;
            let answer = http::read(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
