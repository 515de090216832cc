//! HTTP connection pool for upstreams and the store.

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
    io::ErrorKind,
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

/// Time limit for connecting. It is shorter than the second after which TCP resends a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// TCP user timeout: a connection fails when sent data stays unacknowledged for this time.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// TCP keep-alive on connections to upstreams: the idle time before the first probe, the time
/// between two probes, and the number of unanswered probes after which the connection fails. An
/// upstream that disappears without closing is detected within three seconds, also while its
/// response is awaited.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES_COUNT: u32 = 2;

/// Longest idle time of a pooled connection whose server states none.
const IDLE_MAX_MS: Millis = Millis::from_secs(4);

/// A pooled connection is discarded this long before the idle time that its server states.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Longest response body that [`Pool::call`] reads.
const BODY_MAX_BYTES: usize = 16 << 20;

/// Why a request got no response.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PoolError {
    /// The request was not sent.
    #[error("can't connect to {address} ({reason}): check that the server runs")]
    NotSent {
        /// The address.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
        /// Whether connecting took too long.
        timed_out: bool,
    },
    /// The limit of connections to the address is reached and none is idle.
    #[error("connection limit for {address} is reached: send elsewhere, or later")]
    Exhausted {
        /// The address.
        address: SocketAddr,
    },
    /// The request was sent and may have run, but no response arrived.
    #[error("no response from {address} ({reason}): the request may have run")]
    Lost {
        /// The address.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    idle_timeout: Duration,
}

#[derive(Default)]
struct Host {
    idle: Vec<IdleConnection>,
    open_len: Rc<Cell<u32>>,
}

/// Idle connections and the count of open ones, by address.
#[derive(Default)]
pub struct Pool {
    hosts: RefCell<HashMap<SocketAddr, Host>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest idle time of a pooled connection that is reused.
    pub idle_max_ms: Millis,
    /// Most open connections to the address.
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

/// A connection in use by one request.
pub struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

impl Pool {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// No connection is available, or no response arrives.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limits: ConnectionLimits,
    ) -> Result<(Response<Incoming>, PooledConnection), PoolError> {
        loop {
            let (mut sender, reused) = self.connection(address, limits).await?;
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, PooledConnection { sender, address })),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => {
                        let reason = error.into_error().to_string();
                        return Err(PoolError::NotSent {
                            address,
                            reason,
                            timed_out: false,
                        });
                    }
                    None => {
                        let reason = error.into_error().to_string();
                        return Err(PoolError::Lost { address, reason });
                    }
                },
            }
        }
    }

    /// Sends a request and reads the complete response within `limit`.
    ///
    /// # Errors
    ///
    /// No complete response arrives in time.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, PoolError> {
        let lost = |reason: String| PoolError::Lost { address, reason };
        let exchange = async {
            let (response, connection) = self
                .send(address, request, ConnectionLimits::default())
                .await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, BODY_MAX_BYTES).collect().await;
            let body = body.map_err(|error| lost(error.to_string()))?.to_bytes();
            self.release(connection, &head);
            Ok(Response::from_parts(head, body))
        };
        timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| Err(lost("timed out".to_owned())))
    }

    /// Whether the server refuses connections. No answer within the time limit for connecting says
    /// nothing.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        matches!(attempt, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Returns a connection to the pool after its response has been read completely, unless the
    /// server closes the connection.
    pub fn release(&self, connection: PooledConnection, head: &http::response::Parts) {
        let option = head.headers.get(http::header::CONNECTION);
        if option.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        let idle_timeout = stated_timeout(head).map_or(IDLE_MAX_MS.duration(), |timeout| {
            timeout.saturating_sub(IDLE_MARGIN)
        });
        let mut hosts = self.hosts.borrow_mut();
        hosts
            .entry(connection.address)
            .or_default()
            .idle
            .push(IdleConnection {
                sender: connection.sender,
                since: Instant::now(),
                idle_timeout,
            });
    }

    /// Drops the connections to these addresses that have been idle for this time.
    pub fn discard_idle(&self, addresses: &[SocketAddr], idle_for: Duration) {
        let mut hosts = self.hosts.borrow_mut();
        for address in addresses {
            if let Some(host) = hosts.get_mut(address) {
                host.idle.retain(|idle| idle.since.elapsed() < idle_for);
            }
        }
    }

    /// Drops connections that are closed or idle for too long, and addresses without connections.
    pub fn evict_idle(&self) {
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|_, host| {
            host.idle.retain(|idle| {
                !idle.sender.is_closed() && idle.since.elapsed() < idle.idle_timeout
            });
            !host.idle.is_empty() || host.open_len.get() > 0
        });
    }

    async fn connection(
        &self,
        address: SocketAddr,
        limits: ConnectionLimits,
    ) -> Result<(SendRequest<Full<Bytes>>, bool), PoolError> {
        let open_len = {
            let mut hosts = self.hosts.borrow_mut();
            let host = hosts.entry(address).or_default();
            let usable = |idle: &IdleConnection| {
                let age = idle.since.elapsed();
                age < idle.idle_timeout
                    && age < limits.idle_max_ms.duration()
                    && idle.sender.is_ready()
            };
            host.idle.retain(|idle| {
                !idle.sender.is_closed() && idle.since.elapsed() < idle.idle_timeout
            });
            if let Some(index) = host.idle.iter().rposition(usable) {
                return Ok((host.idle.swap_remove(index).sender, true));
            }
            Rc::clone(&host.open_len)
        };
        if open_len.get() >= limits.connections_max_len {
            return Err(PoolError::Exhausted { address });
        }
        Ok((open(address, open_len).await?, false))
    }
}

async fn open(
    address: SocketAddr,
    open_len: Rc<Cell<u32>>,
) -> Result<SendRequest<Full<Bytes>>, PoolError> {
    let not_sent = |reason: String, timed_out| PoolError::NotSent {
        address,
        reason,
        timed_out,
    };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string(), false)),
        Err(_) => return Err(not_sent("connecting timed out".to_owned(), true)),
    };
    set_socket_options(&stream)
        .and_then(|()| enable_keepalive(&stream))
        .and_then(|()| discard_unsent_on_close(&stream))
        .map_err(|error| not_sent(error.to_string(), false))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string(), false))?;
    open_len.set(open_len.get() + 1);
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address; "connection failed: {error}");
        }
        open_len.set(open_len.get().saturating_sub(1));
    });
    Ok(sender)
}

/// Sets `TCP_NODELAY`, and the timeout for data that the peer does not acknowledge.
pub(super) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Enables TCP keep-alive probes, which detect a peer that disappeared while a connection is
/// silent.
fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES_COUNT);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Resets the connection when it is closed. Otherwise the kernel goes on delivering the bytes of a request
/// that was abandoned, and its upstream may run it long after.
fn discard_unsent_on_close(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

fn stated_timeout(head: &http::response::Parts) -> Option<Duration> {
    let stated = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
