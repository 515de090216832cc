//! Opens connections to upstreams, on the first of several paths that connects.

use super::{
    socket::{self, ConnectError, CONNECT_TIMEOUT},
    store::LocalFuture,
};
use persimmon_core::{
    fleet::UpstreamIncarnation,
    ids::VmId,
    path::{PathAttempt, PathAttempts, PathEnd, PathPlan, PathReport, UpstreamPath},
};
use std::{
    fmt,
    future::poll_fn,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::{sleep, timeout},
};

/// Time limit for a connection by way of a peer, which needs the peer's own limit and the way there.
const RELAY_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_add(Duration::from_millis(100));

/// A connection to an upstream, on whatever path.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// Asks peers to open connections to upstreams.
pub trait RelayDialer: fmt::Debug {
    /// Opens a connection by way of a peer.
    fn open<'a>(
        &'a self,
        peer: &'a VmId,
        upstream: &'a UpstreamIncarnation,
    ) -> LocalFuture<'a, Result<Box<dyn ByteStream>, PathEnd>>;
}

/// Where a connection leads, and on which paths.
#[derive(Clone, Debug)]
pub struct Target {
    /// The address, for the own link.
    pub address: SocketAddr,
    /// The upstream, for peers; none for other servers.
    pub upstream: Option<UpstreamIncarnation>,
    /// The request that the connection is for, if it is a caller's.
    pub request: Option<Arc<str>>,
    /// The paths.
    pub paths: PathPlan,
}

impl Target {
    /// A server that only the own link leads to.
    pub fn direct(address: SocketAddr) -> Self {
        Self {
            address,
            upstream: None,
            request: None,
            paths: PathPlan::direct(),
        }
    }

    /// An upstream, for no particular request.
    pub const fn upstream(
        address: SocketAddr,
        upstream: UpstreamIncarnation,
        paths: PathPlan,
    ) -> Self {
        Self {
            address,
            upstream: Some(upstream),
            request: None,
            paths,
        }
    }
}

/// A connection that could be opened on no path.
#[derive(Debug)]
pub(super) struct NotConnected {
    pub(super) reason: String,
    pub(super) attempts: PathAttempts,
}

/// A connection that was opened.
pub(super) struct Connected {
    pub(super) stream: Box<dyn ByteStream>,
    pub(super) path: UpstreamPath,
    pub(super) attempts: PathAttempts,
}

type Opening<'a> = LocalFuture<'a, Result<Box<dyn ByteStream>, ConnectError>>;

/// Opens connections.
#[derive(Default)]
pub struct Connector {
    source: Option<IpAddr>,
    relays: Option<Rc<dyn RelayDialer>>,
    on_report: Option<Rc<dyn Fn(PathReport)>>,
}

impl Connector {
    /// A connector that connects from this VM's address `source`, asks peers through `relays`, and reports
    /// connections that were not opened on the preferred path.
    pub fn new(
        source: Option<IpAddr>,
        relays: Rc<dyn RelayDialer>,
        on_report: Rc<dyn Fn(PathReport)>,
    ) -> Self {
        Self {
            source,
            relays: Some(relays),
            on_report: Some(on_report),
        }
    }

    /// Opens a connection, and reports the attempts if the preferred path failed.
    pub(super) async fn open(&self, target: &Target) -> Result<Connected, NotConnected> {
        let connected = self.race(target).await?;
        if let (Some(on_report), Some(upstream)) = (&self.on_report, &target.upstream) {
            if connected.attempts.0.len() > 1 {
                on_report(PathReport {
                    upstream: upstream.clone(),
                    request: target.request.clone(),
                    attempts: connected.attempts.clone(),
                });
            }
        }
        Ok(connected)
    }

    /// Tries the paths, each a little after the one before or when that has failed, until one connects.
    pub(super) async fn race(&self, target: &Target) -> Result<Connected, NotConnected> {
        let PathPlan { paths, stagger_ms } = &target.paths;
        let mut race = Race::default();
        let mut waiting = paths.iter();
        let mut reason = "no path is known".to_owned();
        loop {
            if let Some(path) = waiting.next() {
                race.start(path, self.try_path(target, path));
            }
            let is_last = waiting.len() == 0;
            let ended = tokio::select! {
                biased;
                ended = race.next() => ended,
                () = sleep(stagger_ms.duration()), if !is_last => continue,
            };
            match ended {
                Some(Ok((stream, path))) => {
                    let attempts = race.into_attempts(Some(&path));
                    return Ok(Connected {
                        stream,
                        path,
                        attempts,
                    });
                }
                Some(Err(failed)) => reason = failed,
                None if is_last => {
                    let attempts = race.into_attempts(None);
                    return Err(NotConnected { reason, attempts });
                }
                None => {}
            }
        }
    }

    fn try_path<'a>(&'a self, target: &'a Target, path: &'a UpstreamPath) -> Opening<'a> {
        Box::pin(async move {
            match path {
                UpstreamPath::Direct => {
                    let stream = socket::connect(target.address, self.source).await?;
                    Ok(Box::new(stream) as Box<dyn ByteStream>)
                }
                UpstreamPath::Relay(peer) => self.try_relay(target, peer).await,
            }
        })
    }

    async fn try_relay(
        &self,
        target: &Target,
        peer: &VmId,
    ) -> Result<Box<dyn ByteStream>, ConnectError> {
        let failed = |end, reason: &str| ConnectError {
            end,
            reason: format!("{reason} (by way of {peer})"),
        };
        let (Some(relays), Some(upstream)) = (&self.relays, &target.upstream) else {
            return Err(failed(PathEnd::Unavailable, "no relay"));
        };
        let opened = timeout(RELAY_TIMEOUT, relays.open(peer, upstream)).await;
        opened
            .unwrap_or(Err(PathEnd::Unavailable))
            .map_err(|end| match end {
                PathEnd::Refused => failed(end, "connection refused"),
                PathEnd::Silent => failed(end, "connecting timed out"),
                PathEnd::Connected | PathEnd::Unavailable => {
                    failed(PathEnd::Unavailable, "not passed on")
                }
            })
    }
}

/// What the end of an attempt brings: a connection and its path, or the reason why there is none.
type Ended = Result<(Box<dyn ByteStream>, UpstreamPath), String>;

/// Attempts on several paths at the same time.
#[derive(Default)]
struct Race<'a> {
    attempts: Vec<Attempt<'a>>,
}

struct Attempt<'a> {
    path: &'a UpstreamPath,
    opening: Option<Opening<'a>>,
    end: Option<PathEnd>,
}

impl<'a> Race<'a> {
    fn start(&mut self, path: &'a UpstreamPath, opening: Opening<'a>) {
        self.attempts.push(Attempt {
            path,
            opening: Some(opening),
            end: None,
        });
    }

    /// Waits for the next attempt to end: with a connection, or the reason of its failure. Returns none if
    /// all have ended.
    async fn next(&mut self) -> Option<Ended> {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Ended>> {
        let mut all_ended = true;
        for attempt in &mut self.attempts {
            let Some(opening) = &mut attempt.opening else {
                continue;
            };
            let Poll::Ready(opened) = opening.as_mut().poll(context) else {
                all_ended = false;
                continue;
            };
            attempt.opening = None;
            return Poll::Ready(Some(match opened {
                Ok(stream) => {
                    attempt.end = Some(PathEnd::Connected);
                    Ok((stream, attempt.path.clone()))
                }
                Err(ConnectError { end, reason }) => {
                    attempt.end = Some(end);
                    Err(reason)
                }
            }));
        }
        if all_ended {
            Poll::Ready(None)
        } else {
            Poll::Pending
        }
    }

    /// The attempts so far. Those that another one overtook count as silent on the own link, and as not tried
    /// by a peer.
    fn into_attempts(self, connected: Option<&UpstreamPath>) -> PathAttempts {
        let attempts = self.attempts.into_iter().map(|attempt| {
            let overtaken = match attempt.path {
                UpstreamPath::Direct => PathEnd::Silent,
                UpstreamPath::Relay(_) => PathEnd::Unavailable,
            };
            debug_assert!(attempt.end.is_some() || connected.is_some());
            PathAttempt {
                path: attempt.path.clone(),
                end: attempt.end.unwrap_or(overtaken),
            }
        });
        PathAttempts(attempts.collect())
    }
}
