//! Memory and descriptors of a process, and the bytes that lie in the kernel for it.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Interval at which a watch looks at the process.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Code of the TCP state LISTEN, whose queue is a number of connections.
const LISTEN: &str = "0A";

/// What a process takes at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Resident memory.
    pub resident_bytes: u64,
    /// Bytes on the sockets of the process's listeners that it has not read, or that its clients have not.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors_len: usize,
}

impl Usage {
    /// Reads what a process takes that listens on `listeners`.
    ///
    /// # Errors
    ///
    /// The process has ended, or the system has no tables of processes and sockets.
    pub fn read(process_id: u32, listeners: &[SocketAddr]) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
        let resident_kib: u64 = resident.ok_or(io::ErrorKind::NotFound)?;
        let sockets = fs::read_to_string("/proc/net/tcp")?;
        let unread = sockets.lines().skip(1).filter_map(Socket::parse);
        let unread = unread.filter(|socket| listeners.contains(&socket.local));
        Ok(Self {
            resident_bytes: resident_kib << 10,
            unread_bytes: unread.map(|socket| socket.queued_bytes).sum(),
            descriptors_len: fs::read_dir(format!("/proc/{process_id}/fd"))?.count(),
        })
    }

    /// Resident memory and unread bytes together.
    pub const fn held_bytes(&self) -> u64 {
        self.resident_bytes + self.unread_bytes
    }

    /// The one that holds more, with the most descriptors of both.
    fn most(self, other: Self) -> Self {
        let larger = if other.held_bytes() > self.held_bytes() {
            other
        } else {
            self
        };
        Self {
            descriptors_len: self.descriptors_len.max(other.descriptors_len),
            ..larger
        }
    }
}

/// A connected socket.
struct Socket {
    local: SocketAddr,
    queued_bytes: u64,
}

impl Socket {
    /// Parses a line of the kernel's table of TCP sockets.
    fn parse(line: &str) -> Option<Self> {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (ip, port) = fields.next()?.split_once(':')?;
        let state = fields.nth(1)?;
        let (sent, received) = fields.next()?.split_once(':')?;
        let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
        let queue = |text| u64::from_str_radix(text, 16).ok();
        (state != LISTEN).then_some(Self {
            local: SocketAddr::new(
                IpAddr::V4(Ipv4Addr::from(ip)),
                u16::from_str_radix(port, 16).ok()?,
            ),
            queued_bytes: queue(sent)? + queue(received)?,
        })
    }
}

/// Watches a process on a thread of its own.
#[derive(Debug)]
pub struct UsageWatch {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<Usage>>,
}

impl UsageWatch {
    /// Starts to watch a process that listens on `listeners`.
    pub fn start(process_id: u32, listeners: Vec<SocketAddr>) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            let mut most = Usage::default();
            while !stopped.load(Ordering::Relaxed) {
                most = most.most(Usage::read(process_id, &listeners)?);
                thread::sleep(WATCH_INTERVAL);
            }
            Ok(most)
        });
        Self { is_stopped, thread }
    }

    /// The most that the process held at one moment, and the most descriptors.
    ///
    /// # Errors
    ///
    /// The process ended meanwhile.
    pub fn stop(self) -> io::Result<Usage> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let ended = || io::Error::other("the watch panicked");
        self.thread.join().map_err(|_| ended())?
    }
}
