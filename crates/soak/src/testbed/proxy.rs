//! A TCP proxy on loopback that injects link faults.

use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
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
}

/// A proxy for the link to a target address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    link: Arc<watch::Sender<Link>>,
}

impl Proxy {
    /// Starts a proxy to `target`. Without a target, connections are reset until [`Proxy::set_target`].
    pub(crate) async fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            target: Arc::new(Mutex::new(target)),
            link: Arc::new(watch::Sender::new(Link::Open)),
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

    async fn accept(self, listener: TcpListener) {
        while let Ok((caller, _)) = listener.accept().await {
            let (target, link) = (Arc::clone(&self.target), self.link.subscribe());
            tokio::spawn(async move {
                let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
                // An error closes both sides, like a normal end; nothing else to do.
                let _ = relay(caller, target, link).await;
            });
        }
    }
}

async fn relay(
    caller: TcpStream,
    target: Option<SocketAddr>,
    mut link: watch::Receiver<Link>,
) -> io::Result<()> {
    reset_on_close(&caller)?;
    let Some(target) = target else { return Ok(()) };
    let target_stream = TcpStream::connect(target).await?;
    for stream in [&caller, &target_stream] {
        stream.set_nodelay(true)?;
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target_stream.into_split();
    let requests = forward(from_caller, to_target, link.clone(), |link| {
        link == Link::Stalled
    });
    let responses = forward(from_target, to_caller, link.clone(), |link| {
        matches!(link, Link::Stalled | Link::ResponsesStalled)
    });
    tokio::select! {
        _ = link.wait_for(|link| *link == Link::Reset) => Ok(()),
        ended = async { tokio::try_join!(requests, responses) } => ended.map(drop),
    }
}

/// Forwards bytes until the end of the stream, then shuts the other side down. Blocks while `stalls`
/// holds for the link.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    stalls: fn(Link) -> bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let len = from.read(&mut chunk).await?;
        let resumed = link.wait_for(|link| !stalls(*link)).await;
        let state = resumed.map_or(Link::Open, |link| *link);
        if let Link::Slow(delay) = state {
            sleep(delay).await;
        }
        if len == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..len]).await?;
    }
}

/// Makes a close reset the connection, as the exit of a process does.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
