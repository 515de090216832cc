//! HTTP connection pool for upstreams and the store.

use super::{
    carried::Carried,
    connection_limits::{ConnectionLimits, Traffic, IDLE_MAX_MS},
    connector::NotConnected,
    Connector, OutgoingBody, Target,
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use persimmon_core::{
    dispatch::ConnectionUse,
    ids::VmId,
    path::{PathAttempt, PathAttempts, PathEnd, UpstreamPath},
};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::{
    task::spawn_local,
    time::{timeout, Instant},
};

/// A pooled connection is discarded this long before the idle time that its server states.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Limits of a call whose response is read completely.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Time until the response is complete.
    pub time: Duration,
    /// Longest body of the response.
    pub body_max_bytes: usize,
}

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
        /// The paths that were tried.
        attempts: PathAttempts,
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

struct Connection {
    sender: SendRequest<OutgoingBody>,
    path: UpstreamPath,
    carried: Carried,
}

struct IdleConnection {
    connection: Connection,
    carries: Traffic,
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
    connector: Connector,
    hosts: RefCell<HashMap<SocketAddr, Host>>,
    /// Peers that are about to stop. Connections by way of them are not kept.
    stopping_relays: RefCell<HashSet<VmId>>,
    /// Longest read buffer of a connection; none for the HTTP library's.
    buffer_max_bytes: Option<usize>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

/// A connection in use by one request.
pub struct PooledConnection {
    connection: Connection,
    carries: Traffic,
    address: SocketAddr,
    /// What it had carried before the request.
    pub(super) used: ConnectionUse,
}

impl Pool {
    /// A pool whose connections are opened by `connector`.
    pub fn new(connector: Connector) -> Self {
        Self {
            connector,
            ..Self::default()
        }
    }

    /// Bounds the read buffer of each connection. The HTTP library lets it grow to 400 KB, which a response that waits
    /// for its caller keeps.
    pub const fn with_buffer_max(mut self, bytes: usize) -> Self {
        self.buffer_max_bytes = Some(bytes);
        self
    }

    /// Sends a request and waits for the head of its response. Calls `on_path` when the path of the connection
    /// is known.
    ///
    /// # Errors
    ///
    /// No connection is available, or no response arrives.
    pub async fn send(
        &self,
        target: &Target,
        request: Request<impl Into<OutgoingBody>>,
        limits: ConnectionLimits,
        on_path: &dyn Fn(&UpstreamPath),
    ) -> Result<(Response<Incoming>, PooledConnection), PoolError> {
        let address = target.address;
        let mut request = request.map(Into::into);
        loop {
            let (mut connection, reused) = self.connection(target, limits).await?;
            on_path(&connection.path);
            let used = connection.carried.record(target.request.as_deref());
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let connection = PooledConnection {
                        connection,
                        carries: limits.traffic,
                        address,
                        used,
                    };
                    return Ok((response, connection));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => {
                        let reason = error.into_error().to_string();
                        return Err(PoolError::NotSent {
                            address,
                            reason,
                            timed_out: false,
                            attempts: PathAttempts::default(),
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

    /// Sends a request and reads the complete response within `limits`.
    ///
    /// # Errors
    ///
    /// No complete response arrives in time, or it is too long.
    pub async fn call(
        &self,
        target: &Target,
        request: Request<impl Into<OutgoingBody>>,
        limits: CallLimits,
    ) -> Result<Response<Bytes>, PoolError> {
        let address = target.address;
        let lost = |reason: String| PoolError::Lost { address, reason };
        let exchange = async {
            let (response, connection) = self
                .send(target, request, ConnectionLimits::default(), &|_| {})
                .await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, limits.body_max_bytes).collect().await;
            let body = body.map_err(|error| lost(error.to_string()))?.to_bytes();
            self.release(connection, &head);
            Ok(Response::from_parts(head, body))
        };
        timeout(limits.time, exchange)
            .await
            .unwrap_or_else(|_| Err(lost("timed out".to_owned())))
    }

    /// Tries to connect to an upstream, and closes the connection again.
    pub async fn check(&self, target: &Target) -> PathAttempts {
        match self.connector.race(target).await {
            Ok(connected) => connected.attempts,
            Err(error) => error.attempts,
        }
    }

    /// Whether an upstream's process has ended, as far as a new connection shows it. One that opens is kept for the
    /// next request.
    pub async fn has_ended(&self, target: &Target, limits: ConnectionLimits) -> bool {
        let open_len = self.open_len(target.address);
        if open_len.get() >= limits.connections_max_len {
            return self.check(target).await.show_ended();
        }
        match self.open(target, open_len).await {
            Ok(connection) => {
                let idle_timeout = IDLE_MAX_MS.duration();
                self.keep(target.address, connection, limits.traffic, idle_timeout);
                false
            }
            Err(PoolError::NotSent { attempts, .. }) => attempts.show_ended(),
            Err(PoolError::Exhausted { .. } | PoolError::Lost { .. }) => false,
        }
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
        let PooledConnection {
            connection,
            carries,
            address,
            used: _,
        } = connection;
        if let UpstreamPath::Relay(peer) = &connection.path {
            if self.stopping_relays.borrow().contains(peer) {
                return;
            }
        }
        if connection.carried.is_full() {
            return;
        }
        self.keep(address, connection, carries, idle_timeout);
    }

    fn keep(
        &self,
        address: SocketAddr,
        connection: Connection,
        carries: Traffic,
        idle_timeout: Duration,
    ) {
        let mut hosts = self.hosts.borrow_mut();
        hosts.entry(address).or_default().idle.push(IdleConnection {
            connection,
            carries,
            since: Instant::now(),
            idle_timeout,
        });
    }

    /// The count of open connections to an address.
    fn open_len(&self, address: SocketAddr) -> Rc<Cell<u32>> {
        let mut hosts = self.hosts.borrow_mut();
        Rc::clone(&hosts.entry(address).or_default().open_len)
    }

    /// Drops idle connections by way of a peer that is about to stop, and does not keep others after their
    /// responses.
    pub fn discard_relayed(&self, peer: &VmId) {
        self.stopping_relays.borrow_mut().insert(peer.clone());
        let path = UpstreamPath::Relay(peer.clone());
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|idle| idle.connection.path != path);
        }
    }

    /// Drops the connections on the own links to these addresses that have been idle for this time.
    pub fn discard_idle(&self, addresses: &[SocketAddr], idle_for: Duration) {
        let mut hosts = self.hosts.borrow_mut();
        for address in addresses {
            if let Some(host) = hosts.get_mut(address) {
                host.idle.retain(|idle| {
                    idle.connection.path != UpstreamPath::Direct || idle.since.elapsed() < idle_for
                });
            }
        }
    }

    /// Drops connections that are closed or idle for too long, and addresses without connections.
    pub fn evict_idle(&self) {
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|_, host| {
            host.idle.retain(|idle| {
                !idle.connection.sender.is_closed() && idle.since.elapsed() < idle.idle_timeout
            });
            !host.idle.is_empty() || host.open_len.get() > 0
        });
    }

    async fn connection(
        &self,
        target: &Target,
        limits: ConnectionLimits,
    ) -> Result<(Connection, bool), PoolError> {
        let address = target.address;
        let open_len = {
            let mut hosts = self.hosts.borrow_mut();
            let host = hosts.entry(address).or_default();
            if let Some(connection) = host.take_idle(target, limits) {
                return Ok((connection, true));
            }
            Rc::clone(&host.open_len)
        };
        if open_len.get() >= limits.connections_max_len {
            return Err(PoolError::Exhausted { address });
        }
        Ok((self.open(target, open_len).await?, false))
    }

    fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        if let Some(bytes) = self.buffer_max_bytes {
            builder.max_buf_size(bytes);
        }
        builder
    }

    async fn open(
        &self,
        target: &Target,
        open_len: Rc<Cell<u32>>,
    ) -> Result<Connection, PoolError> {
        let address = target.address;
        let connected = self.connector.open(target).await;
        let connected = connected.map_err(|NotConnected { reason, attempts }| {
            let is_silent = |attempt: &PathAttempt| attempt.end == PathEnd::Silent;
            PoolError::NotSent {
                address,
                reason,
                timed_out: attempts.0.iter().any(is_silent),
                attempts,
            }
        })?;
        if let UpstreamPath::Relay(peer) = &connected.path {
            self.stopping_relays.borrow_mut().remove(peer);
        }
        let handshake = self
            .builder()
            .handshake(TokioIo::new(connected.stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| PoolError::NotSent {
            address,
            reason: error.to_string(),
            timed_out: false,
            attempts: PathAttempts::default(),
        })?;
        open_len.set(open_len.get() + 1);
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address; "connection failed: {error}");
            }
            open_len.set(open_len.get().saturating_sub(1));
        });
        Ok(Connection {
            sender,
            path: connected.path,
            carried: Carried::default(),
        })
    }
}

impl Host {
    /// Takes an idle connection, on the preferred path if there is one. A connection on the own link is not
    /// used if that is not preferred: it may hang.
    fn take_idle(&mut self, target: &Target, limits: ConnectionLimits) -> Option<Connection> {
        self.idle.retain(|idle| {
            !idle.connection.sender.is_closed() && idle.since.elapsed() < idle.idle_timeout
        });
        let plan = &target.paths;
        let request = target.request.as_deref();
        let is_usable = |idle: &IdleConnection| {
            idle.carries == limits.traffic
                && !request.is_some_and(|request| idle.connection.carried.has(request))
                && idle.since.elapsed() < limits.idle_max_ms.duration()
                && idle.connection.sender.is_ready()
        };
        let is_direct_lost = plan.paths.first() != Some(&UpstreamPath::Direct);
        let paths = plan.paths.iter();
        let mut paths = paths.filter(|path| !(is_direct_lost && **path == UpstreamPath::Direct));
        let index = paths.find_map(|path| {
            let is_on_path = |idle: &IdleConnection| idle.connection.path == *path;
            let mut idle = self.idle.iter();
            idle.rposition(|idle| is_on_path(idle) && is_usable(idle))
        })?;
        Some(self.idle.swap_remove(index).connection)
    }
}

fn stated_timeout(head: &http::response::Parts) -> Option<Duration> {
    let stated = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = stated
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
