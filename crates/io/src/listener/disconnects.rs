//! Detects callers that closed their connection while nothing is written to them.

use std::{
    collections::HashSet,
    fs,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Longest time for which the result of reading the connection tables is reused.
const CACHE_TIME: Duration = Duration::from_millis(200);

/// The kernel's tables of TCP connections. On a system without them no disconnect is detected.
const TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];

/// Code of the TCP state CLOSE_WAIT: the remote end has closed the connection.
const CLOSE_WAIT: &str = "08";

/// Tells which callers closed their connection. `tiny_http` gives no access to the socket, so the
/// kernel's connection tables are read, at most five times a second for all callers together.
#[derive(Debug, Default)]
pub(crate) struct DisconnectDetector {
    snapshot: Mutex<Snapshot>,
}

#[derive(Debug, Default)]
struct Snapshot {
    read_at: Option<Instant>,
    closed: HashSet<SocketAddr>,
}

impl DisconnectDetector {
    /// Whether the caller at `remote` closed its connection, or its sending side.
    pub(crate) fn has_disconnected(&self, remote: SocketAddr) -> bool {
        let mut snapshot = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        if snapshot.read_at.is_none_or(|at| at.elapsed() > CACHE_TIME) {
            snapshot.closed = read_closed();
            snapshot.read_at = Some(Instant::now());
        }
        snapshot.closed.contains(&remote)
    }
}

/// Reads the remote addresses of connections that their remote end has closed.
fn read_closed() -> HashSet<SocketAddr> {
    let tables = TABLES
        .iter()
        .filter_map(|file| fs::read_to_string(file).ok());
    tables.flat_map(|table| parse_closed(&table)).collect()
}

fn parse_closed(table: &str) -> Vec<SocketAddr> {
    let closed = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_ascii_whitespace().skip(2);
        let remote = fields.next()?;
        (fields.next()? == CLOSE_WAIT).then(|| parse_address(remote))?
    });
    closed.collect()
}

/// Parses an address as the kernel prints it: hexadecimal 32-bit words in host byte order, and the
/// port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let words = ip.as_bytes().chunks(8).map(|word| {
        let word = std::str::from_utf8(word).ok()?;
        u32::from_str_radix(word, 16).ok().map(u32::to_ne_bytes)
    });
    let bytes = words.collect::<Option<Vec<_>>>()?.concat();
    let ip = match bytes.len() {
        4 => IpAddr::from(Ipv4Addr::from(<[u8; 4]>::try_from(bytes).ok()?)),
        16 => IpAddr::from(Ipv6Addr::from(<[u8; 16]>::try_from(bytes).ok()?)),
        _ => return None,
    };
    Some(SocketAddr::new(ip, port))
}
