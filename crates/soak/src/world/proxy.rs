//! A link that can be disturbed: a proxy between two addresses on loopback.

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

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What a link does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Link {
    /// Passes all on.
    #[default]
    Open,
    /// Passes all on, later.
    Slow(Duration),
    /// Holds what comes back.
    OneWay,
    /// Holds all, without a word.
    Silent,
    /// Breaks all connections.
    Reset,
}

/// A link between two addresses.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    link: Arc<watch::Sender<Link>>,
}

impl Proxy {
    /// A link to `target`, where there is one yet.
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

    /// Where it listens.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads elsewhere from now on.
    pub(crate) fn lead_to(&self, target: Option<SocketAddr>) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Disturbs the link, or mends it.
    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((caller, _)) = listener.accept().await {
            let (target, link) = (Arc::clone(&self.target), self.link.subscribe());
            tokio::spawn(async move {
                let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
                // A connection that ends, for whatever reason, ends at both sides.
                let _ = join(caller, target, link).await;
            });
        }
    }
}

async fn join(
    caller: TcpStream,
    target: Option<SocketAddr>,
    mut link: watch::Receiver<Link>,
) -> io::Result<()> {
    reset_at_end(&caller)?;
    let Some(target) = target else { return Ok(()) };
    let other = TcpStream::connect(target).await?;
    for stream in [&caller, &other] {
        stream.set_nodelay(true)?;
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_other, to_other) = other.into_split();
    let there = pass(from_caller, to_other, link.clone(), |link| {
        link == Link::Silent
    });
    let back = pass(from_other, to_caller, link.clone(), |link| {
        matches!(link, Link::Silent | Link::OneWay)
    });
    tokio::select! {
        _ = link.wait_for(|link| *link == Link::Reset) => Ok(()),
        ended = async { tokio::try_join!(there, back) } => ended.map(drop),
    }
}

/// Passes bytes on until the end, and the end as well.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    holds: fn(Link) -> bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let len = from.read(&mut chunk).await?;
        let held = link.wait_for(|link| !holds(*link)).await;
        let state = held.map_or(Link::Open, |link| *link);
        if let Link::Slow(delay) = state {
            sleep(delay).await;
        }
        if len == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..len]).await?;
    }
}

/// Closing resets the connection, as a process that is gone does.
fn reset_at_end(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
