//! One listening address.

use socket2::SockRef;
use std::{
    fmt,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thread,
    time::Duration,
};
use tiny_http::{Request, Server};

/// Pause after listening failed.
const RETRY: Duration = Duration::from_millis(500);

/// Longest time between two probes of ourselves.
const PROBE_GAP: Duration = Duration::from_secs(2);

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

type Serve = dyn Fn(Request) + Send + Sync;

/// Serves each request of one listening address on a thread of its own.
///
/// `tiny_http` accepts connections and reads heads by itself. The accepted sockets take their
/// timeouts from the listening socket, so a silent connection ends; the number of connections and
/// the size of a head that has not ended yet can't be bounded through it.
pub struct HttpListener {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    listener: Mutex<Option<TcpListener>>,
    serve: Box<Serve>,
    stopped: AtomicBool,
    servers: Mutex<Vec<Arc<Server>>>,
}

impl fmt::Debug for HttpListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("HttpListener");
        shown
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HttpListener {
    /// Listens on `address` and serves until it is stopped. `io_timeout` bounds the gap between two
    /// reads from a caller that sends, and a write to one that does not read.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn start(
        address: SocketAddr,
        io_timeout: Duration,
        serve: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let socket = SockRef::from(&listener);
        socket.set_read_timeout(Some(io_timeout))?;
        socket.set_write_timeout(Some(io_timeout))?;
        socket.set_tcp_nodelay(true)?;
        let shared = Arc::new(Shared {
            listener: Mutex::new(Some(listener)),
            serve: Box::new(serve),
            stopped: AtomicBool::new(false),
            servers: Mutex::default(),
        });
        shared.listen()?;
        let awake = Arc::clone(&shared);
        thread::spawn(move || awake.keep_awake(address, io_timeout));
        Ok(Self { address, shared })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more requests. Those that are open go on.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        drop(lock(&self.shared.listener).take());
        for server in lock(&self.shared.servers).drain(..) {
            server.unblock();
        }
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let listener = match &*lock(&self.listener) {
            Some(listener) => listener.try_clone()?,
            None => return Ok(()),
        };
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        lock(&self.servers).push(Arc::clone(&server));
        let shared = Arc::clone(self);
        thread::spawn(move || shared.accept(&server));
        Ok(())
    }

    /// Hands requests on. Where `tiny_http` gave up accepting, another server takes its place, and
    /// this one goes on with the connections that it has.
    fn accept(self: &Arc<Self>, server: &Server) {
        while !self.is_stopped() {
            match server.recv() {
                Ok(request) => {
                    let shared = Arc::clone(self);
                    thread::spawn(move || (shared.serve)(request));
                }
                Err(_) if self.is_stopped() => return,
                Err(error) => self.listen_again(&error),
            }
        }
    }

    fn listen_again(self: &Arc<Self>, error: &io::Error) {
        log::warn!(reason:% = error; "accepting connections failed");
        while !self.is_stopped() {
            thread::sleep(RETRY);
            if self.listen().is_ok() {
                return;
            }
        }
    }

    /// Asks ourselves now and then, so that no `accept` waits for the timeout, and listens again
    /// where nobody answers: `tiny_http` stops accepting without a word when a socket that it
    /// accepted can't be duplicated.
    fn keep_awake(self: &Arc<Self>, address: SocketAddr, io_timeout: Duration) {
        let target = reachable(address);
        while !self.is_stopped() {
            thread::sleep(PROBE_GAP.min(io_timeout / 3));
            let failure = match TcpStream::connect_timeout(&target, PROBE_TIMEOUT) {
                // Without a free socket there is nothing to learn: `accept` says so as well.
                Err(_) => continue,
                Ok(stream) => probe(stream).err(),
            };
            if let Some(error) = failure.filter(|_| !self.is_stopped()) {
                self.listen_again(&error);
            }
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// Sends what the HTTP library refuses by itself, and waits for the refusal.
fn probe(mut stream: TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    stream.write_all(b"\r\n")?;
    match stream.read(&mut [0])? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn reachable(mut address: SocketAddr) -> SocketAddr {
    match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => address.set_ip(Ipv4Addr::LOCALHOST.into()),
        IpAddr::V6(ip) if ip.is_unspecified() => address.set_ip(Ipv6Addr::LOCALHOST.into()),
        _ => {}
    }
    address
}
