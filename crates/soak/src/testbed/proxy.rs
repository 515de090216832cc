//! A TCP proxy on loopback that injects link faults.

use super::{
    misbehavior::{Aftermath, ExtraTime, Misbehavior},
    response_framing::ResponseFraming,
};
use rand_chacha::ChaCha8Rng;
use socket2::{Domain, SockRef, Socket, Type};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    sync::watch,
    time::sleep,
};

/// Size of the buffer for forwarded bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// Beginnings of responses that refuse a request.
const REFUSALS: [&[u8]; 2] = [b"HTTP/1.1 503", b"HTTP/1.1 421"];

/// Time after which a connection that is not accepted shows that a listener's queue is full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(20);

/// State of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Link {
    /// Forwards both directions.
    #[default]
    Open,
    /// Forwards both directions with a delay per chunk.
    Slow(Duration),
    /// Withholds bytes from the target to the caller until the link recovers.
    ResponsesStalled,
    /// Withholds bytes of both directions until the link recovers; connections stay open.
    Stalled,
    /// Resets all connections.
    Reset,
    /// Resets all connections and refuses new ones.
    Refused,
    /// Refuses new connections; open ones go on.
    NewRefused,
    /// Open connections get no more bytes, and are reset at the end; new ones hang.
    Hanging,
    /// The target writes each refusal once more, when the next request is on its way.
    RefusalsRepeated,
    /// The target misbehaves after its responses.
    Misbehaves(Misbehavior),
}

impl Link {
    /// Whether the proxy accepts connections.
    const fn accepts(self) -> bool {
        !matches!(self, Self::Refused | Self::NewRefused | Self::Hanging)
    }
}

/// A proxy for the link to a target address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    link: Arc<watch::Sender<Link>>,
    connections_count: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy to `target`. Without a target, connections are reset until [`Proxy::set_target`].
    pub(crate) async fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target).await
    }

    /// Starts a proxy that listens on `address`.
    pub(crate) async fn start_at(
        address: SocketAddr,
        target: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            target: Arc::new(Mutex::new(target)),
            link: Arc::new(watch::Sender::new(Link::Open)),
            connections_count: Arc::default(),
        };
        tokio::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Address on which the proxy listens.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the target of new connections.
    pub(crate) fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Changes the state of the link.
    pub(crate) fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }

    async fn accept(self, mut listener: TcpListener) {
        let mut link = self.link.subscribe();
        loop {
            let state = *link.borrow_and_update();
            if state.accepts() {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((caller, _)) => self.forward(caller),
                        Err(_) => return,
                    },
                    _ = link.changed() => {}
                }
                continue;
            }
            drop(listener);
            let full = (state == Link::Hanging).then(|| full_listener(self.address));
            // The sender lives as long as the proxy.
            let _ = link.wait_for(|link| link.accepts()).await;
            drop(full);
            listener = match TcpListener::bind(self.address).await {
                Ok(listener) => listener,
                Err(error) => return eprintln!("{}: {error}", self.address),
            };
        }
    }

    fn forward(&self, caller: TcpStream) {
        let (target, link) = (Arc::clone(&self.target), self.link.subscribe());
        let connection = self.connections_count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
            // An error closes both sides, like a normal end; nothing else to do.
            let _ = relay(caller, target, link, connection).await;
        });
    }
}

/// A listener whose queue is full, so that connecting to it hangs, and the connections that fill the queue.
fn full_listener(address: SocketAddr) -> io::Result<(Socket, Vec<std::net::TcpStream>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(0)?;
    let mut waiting = Vec::new();
    while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT) {
        waiting.push(stream);
    }
    Ok((socket, waiting))
}

async fn relay(
    caller: TcpStream,
    target: Option<SocketAddr>,
    mut link: watch::Receiver<Link>,
    connection: u64,
) -> io::Result<()> {
    reset_on_close(&caller)?;
    let Some(target) = target else { return Ok(()) };
    let target_stream = TcpStream::connect(target).await?;
    for stream in [&caller, &target_stream] {
        stream.set_nodelay(true)?;
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target_stream.into_split();
    let (requests_len, next_request) = watch::channel(0);
    let requests = Direction {
        from: from_caller,
        to: to_target,
        link: link.clone(),
        stalls: |link| matches!(link, Link::Stalled | Link::Hanging),
        kind: Kind::Requests(requests_len),
    };
    let responses = Direction {
        from: from_target,
        to: to_caller,
        link: link.clone(),
        stalls: |link| matches!(link, Link::Stalled | Link::ResponsesStalled | Link::Hanging),
        kind: Kind::Responses(Box::new(Responses {
            next_request,
            framing: ResponseFraming::default(),
            rng: Misbehavior::generator(connection),
        })),
    };
    let (requests, responses) = (requests.forward(), responses.forward());
    tokio::select! {
        () = wait_broken(&mut link) => Ok(()),
        ended = async { tokio::try_join!(requests, responses) } => ended.map(drop),
    }
}

/// Waits until the link resets its connections.
async fn wait_broken(link: &mut watch::Receiver<Link>) {
    let is_cut = |link: &Link| matches!(link, Link::Reset | Link::Refused | Link::Hanging);
    // The sender lives as long as the proxy.
    let state = link.wait_for(is_cut).await.map(|link| *link);
    if state.is_ok_and(|state| state == Link::Hanging) {
        let _ = link.wait_for(|link| *link != Link::Hanging).await;
    }
}

/// Which way bytes go, and the number of chunks of requests.
enum Kind {
    Requests(watch::Sender<u64>),
    Responses(Box<Responses>),
}

/// The responses on a connection, and the number of chunks of requests.
struct Responses {
    next_request: watch::Receiver<u64>,
    framing: ResponseFraming,
    rng: ChaCha8Rng,
}

/// One direction of a connection.
struct Direction {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: watch::Receiver<Link>,
    /// The states of the link in which bytes are withheld.
    stalls: fn(Link) -> bool,
    kind: Kind,
}

impl Direction {
    /// Forwards bytes until the end of the stream, then shuts the other side down.
    async fn forward(mut self) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let len = self.from.read(&mut chunk).await?;
            let stalls = self.stalls;
            let resumed = self.link.wait_for(|link| !stalls(*link)).await;
            let state = resumed.map_or(Link::Open, |link| *link);
            if let Link::Slow(delay) = state {
                sleep(delay).await;
            }
            if len == 0 {
                return self.to.shutdown().await;
            }
            let received = &chunk[..len];
            match &mut self.kind {
                Kind::Requests(chunks_len) => {
                    self.to.write_all(received).await?;
                    chunks_len.send_modify(|len| *len += 1);
                }
                Kind::Responses(responses) => {
                    let is_open = responses.write(&mut self.to, state, received).await?;
                    if !is_open {
                        return self.to.shutdown().await;
                    }
                }
            }
        }
    }
}

impl Responses {
    /// Writes received bytes, and what comes after the response if they complete one. Returns false if no more
    /// responses follow.
    async fn write(
        &mut self,
        to: &mut OwnedWriteHalf,
        state: Link,
        received: &[u8],
    ) -> io::Result<bool> {
        let complete = self.framing.push(received);
        let aftermath = match (state, complete) {
            (Link::Misbehaves(misbehavior), Some(last)) => {
                misbehavior.aftermath(&mut self.rng, &last)
            }
            _ => Aftermath::Nothing,
        };
        if let Aftermath::Extra {
            bytes,
            time: ExtraTime::AtOnce,
            ..
        } = &aftermath
        {
            to.write_all(&[received, bytes].concat()).await?;
            return Ok(true);
        }
        to.write_all(received).await?;
        self.next_request.mark_unchanged();
        match aftermath {
            Aftermath::Nothing => {
                let is_refusal = REFUSALS.iter().any(|begin| received.starts_with(begin));
                if state == Link::RefusalsRepeated && is_refusal {
                    self.wait_for_request().await?;
                    to.write_all(received).await?;
                }
            }
            Aftermath::Extra { bytes, time, delay } => {
                if time != ExtraTime::Later {
                    self.wait_for_request().await?;
                }
                if time != ExtraTime::AfterNextRequest {
                    sleep(delay).await;
                }
                to.write_all(&bytes).await?;
            }
            Aftermath::HalfClose => return Ok(false),
            Aftermath::ResetAfterNextRequest => {
                self.wait_for_request().await?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        Ok(true)
    }

    /// Waits until the target has been sent the next request.
    async fn wait_for_request(&mut self) -> io::Result<()> {
        let changed = self.next_request.changed().await;
        changed.map_err(|_| io::ErrorKind::ConnectionReset.into())
    }
}

/// Makes a close reset the connection, as the exit of a process does.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
