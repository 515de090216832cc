//! Callers that closed their connection while nothing is written to them.

use std::{
    collections::HashSet,
    fs,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Longest age of what the system said.
const MAX_AGE: Duration = Duration::from_millis(200);

/// The system's tables of connections. Where there are none, nobody is seen to leave.
const TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];

/// The state of a connection whose other end was closed: CLOSE_WAIT.
const CLOSED_THERE: &str = "08";

/// Tells which callers closed their connection. `tiny_http` gives no access to the socket, so the
/// system's table of connections is read, at most a few times a second for all callers together.
#[derive(Debug, Default)]
pub(crate) struct DisconnectDetector {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    at: Option<Instant>,
    gone: HashSet<SocketAddr>,
}

impl DisconnectDetector {
    /// Whether the caller at `remote` closed its connection, or its sending side.
    pub(crate) fn has_disconnected(&self, remote: SocketAddr) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.at.is_none_or(|at| at.elapsed() > MAX_AGE) {
            seen.gone = read();
            seen.at = Some(Instant::now());
        }
        seen.gone.contains(&remote)
    }
}

fn read() -> HashSet<SocketAddr> {
    let tables = TABLES
        .iter()
        .filter_map(|file| fs::read_to_string(file).ok());
    tables.flat_map(|table| closed(&table)).collect()
}

fn closed(table: &str) -> Vec<SocketAddr> {
    let closed = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_ascii_whitespace().skip(2);
        let remote = fields.next()?;
        (fields.next()? == CLOSED_THERE).then(|| address(remote))?
    });
    closed.collect()
}

/// An address as the system prints it: words of 32 bits in the order of its bytes, in hexadecimal.
fn address(text: &str) -> Option<SocketAddr> {
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
