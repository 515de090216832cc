//! Connections to upstreams and to the store.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use persimmon_core::units::Millis;
use socket2::{SockRef, TcpKeepalive};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{timeout, Instant},
};

/// Time for a connection to come up: a lost packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes without acknowledgement for so long break a connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Silence of a connection to an upstream after which it is probed, the time between two probes, and
/// the probes without an answer that break it: an upstream that is gone without a word is noticed
/// within three seconds, while an answer is awaited as well.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_PAUSE: Duration = Duration::from_secs(1);
const PROBES_MAX_COUNT: u32 = 2;

/// Longest idle time of a kept connection, where the other side states none.
const IDLE_MAX_MS: Millis = Millis::from_secs(4);

/// A stated idle time is used up to this much before its end.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Longest body of an answer that is read as a whole.
const BODY_MAX_BYTES: usize = 16 << 20;

/// Why a request got no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PoolError {
    /// Nothing was sent.
    #[error("{address} can't be reached ({reason}): check that it runs")]
    NotSent {
        /// The address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// This daemon has as many connections there as it may.
    #[error("all connections to {address} are taken: send elsewhere, or later")]
    Exhausted {
        /// The address.
        address: SocketAddr,
    },
    /// It was sent and may have been carried out.
    #[error("{address} gave no answer ({reason}): it may have carried the request out")]
    Lost {
        /// The address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    keep: Duration,
}

#[derive(Default)]
struct Host {
    idle: Vec<Idle>,
    open_len: Rc<Cell<u32>>,
}

/// Kept and new connections, by address.
#[derive(Default)]
pub struct Pool {
    hosts: RefCell<HashMap<SocketAddr, Host>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

/// How a connection may be used.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest idle time of a kept connection that is taken.
    pub idle_max_ms: Millis,
    /// Most connections to the address.
    pub connections_max_len: u32,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            idle_max_ms: IDLE_MAX_MS,
            connections_max_len: u32::MAX,
        }
    }
}

/// A connection that one request uses.
pub struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

impl Pool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// No answer came.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        how: ConnectionLimits,
    ) -> Result<(Response<Incoming>, PooledConnection), PoolError> {
        loop {
            let (mut sender, kept) = self.connection(address, how).await?;
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, PooledConnection { sender, address })),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if kept => request = unsent,
                    Some(_) => {
                        let reason = error.into_error().to_string();
                        return Err(PoolError::NotSent { address, reason });
                    }
                    None => {
                        let reason = error.into_error().to_string();
                        return Err(PoolError::Lost { address, reason });
                    }
                },
            }
        }
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, PoolError> {
        let lost = |reason: String| PoolError::Lost { address, reason };
        let whole = async {
            let (response, lease) = self
                .send(address, request, ConnectionLimits::default())
                .await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, BODY_MAX_BYTES).collect().await;
            let body = body.map_err(|error| lost(error.to_string()))?.to_bytes();
            self.release(lease, &head);
            Ok(Response::from_parts(head, body))
        };
        timeout(limit, whole)
            .await
            .unwrap_or_else(|_| Err(lost("time ran out".to_owned())))
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn release(&self, lease: PooledConnection, head: &http::response::Parts) {
        let closes = head.headers.get(http::header::CONNECTION);
        if closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        let keep = stated_idle(head).map_or(IDLE_MAX_MS.duration(), |idle| {
            idle.saturating_sub(IDLE_MARGIN)
        });
        let mut hosts = self.hosts.borrow_mut();
        hosts.entry(lease.address).or_default().idle.push(Idle {
            sender: lease.sender,
            since: Instant::now(),
            keep,
        });
    }

    /// Closes kept connections to an address that nobody uses any more.
    pub fn evict_idle(&self) {
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|_, host| {
            host.idle
                .retain(|idle| !idle.sender.is_closed() && idle.since.elapsed() < idle.keep);
            !host.idle.is_empty() || host.open_len.get() > 0
        });
    }

    async fn connection(
        &self,
        address: SocketAddr,
        how: ConnectionLimits,
    ) -> Result<(SendRequest<Full<Bytes>>, bool), PoolError> {
        let open_len = {
            let mut hosts = self.hosts.borrow_mut();
            let host = hosts.entry(address).or_default();
            let usable = |idle: &Idle| {
                let age = idle.since.elapsed();
                age < idle.keep && age < how.idle_max_ms.duration() && idle.sender.is_ready()
            };
            host.idle
                .retain(|idle| !idle.sender.is_closed() && idle.since.elapsed() < idle.keep);
            if let Some(index) = host.idle.iter().rposition(usable) {
                return Ok((host.idle.swap_remove(index).sender, true));
            }
            Rc::clone(&host.open_len)
        };
        if open_len.get() >= how.connections_max_len {
            return Err(PoolError::Exhausted { address });
        }
        Ok((open(address, open_len).await?, false))
    }
}

async fn open(
    address: SocketAddr,
    open_len: Rc<Cell<u32>>,
) -> Result<SendRequest<Full<Bytes>>, PoolError> {
    let not_sent = |reason: String| PoolError::NotSent { address, reason };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_) => return Err(not_sent("no answer to the connection".to_owned())),
    };
    prepare(&stream)
        .and_then(|()| probe(&stream))
        .map_err(|error| not_sent(error.to_string()))?;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|error| not_sent(error.to_string()))?;
    open_len.set(open_len.get() + 1);
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address; "connection ended: {error}");
        }
        open_len.set(open_len.get().saturating_sub(1));
    });
    Ok(sender)
}

/// Sets up a socket: no delay, and an end where the other side is gone without a word.
pub(super) fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SEND_TIMEOUT))
}

/// Has the system probe a connection on which nothing comes.
fn probe(stream: &TcpStream) -> std::io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES_MAX_COUNT);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

fn stated_idle(head: &http::response::Parts) -> Option<Duration> {
    let stated = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
