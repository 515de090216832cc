//! An HTTP server on one listening address.

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

/// Delay between attempts to restart a failed server.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Longest time between two probes of the server by itself.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Time limit for connecting a probe, and for the response to it.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

type Handler = dyn Fn(Request) + Send + Sync;

/// Accepts connections on one address and handles each request on its own thread.
///
/// `tiny_http` accepts connections and reads request heads by itself. Accepted sockets inherit the
/// timeouts of the listening socket, so a silent connection is closed. The number of connections
/// and the size of an incomplete head can't be bounded through `tiny_http`.
pub struct HttpListener {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    listener: Mutex<Option<TcpListener>>,
    handler: Box<Handler>,
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
    /// Listens on `address` and passes requests to `handler` until the listener is stopped.
    /// `io_timeout` bounds the time between two reads from a caller that sends, and a write to one
    /// that does not read.
    ///
    /// # Errors
    ///
    /// The address can't be used.
    pub fn start(
        address: SocketAddr,
        io_timeout: Duration,
        handler: impl Fn(Request) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let socket = SockRef::from(&listener);
        socket.set_read_timeout(Some(io_timeout))?;
        socket.set_write_timeout(Some(io_timeout))?;
        socket.set_tcp_nodelay(true)?;
        let shared = Arc::new(Shared {
            listener: Mutex::new(Some(listener)),
            handler: Box::new(handler),
            stopped: AtomicBool::new(false),
            servers: Mutex::default(),
        });
        shared.start_server()?;
        let watchdog = Arc::clone(&shared);
        thread::spawn(move || watchdog.run_watchdog(address, io_timeout));
        Ok(Self { address, shared })
    }

    /// The address that the listener is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests. Open requests continue.
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
    fn start_server(self: &Arc<Self>) -> io::Result<()> {
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

    /// Passes requests to the handler. If `tiny_http` stops accepting, another server is started,
    /// and this one continues with its open connections.
    fn accept(self: &Arc<Self>, server: &Server) {
        while !self.is_stopped() {
            match server.recv() {
                Ok(request) => {
                    let shared = Arc::clone(self);
                    thread::spawn(move || (shared.handler)(request));
                }
                Err(_) if self.is_stopped() => return,
                Err(error) => self.restart_server(&error),
            }
        }
    }

    fn restart_server(self: &Arc<Self>, error: &io::Error) {
        log::warn!(reason:% = error; "accepting connections failed");
        while !self.is_stopped() {
            thread::sleep(RESTART_DELAY);
            if self.start_server().is_ok() {
                return;
            }
        }
    }

    /// Probes the server periodically, so that `accept` does not run into the timeout of the
    /// listening socket, and restarts the server if it does not answer: `tiny_http` silently stops
    /// accepting when it can't duplicate an accepted socket.
    fn run_watchdog(self: &Arc<Self>, address: SocketAddr, io_timeout: Duration) {
        let target = loopback_if_unspecified(address);
        while !self.is_stopped() {
            thread::sleep(PROBE_INTERVAL_MAX.min(io_timeout / 3));
            let failure = match TcpStream::connect_timeout(&target, PROBE_TIMEOUT) {
                // The probe can't connect, for example for lack of sockets, and shows nothing about
                // the server; `accept` reports such a shortage too.
                Err(_) => continue,
                Ok(stream) => probe(stream).err(),
            };
            if let Some(error) = failure.filter(|_| !self.is_stopped()) {
                self.restart_server(&error);
            }
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// Sends a malformed request, which the HTTP library rejects by itself, and waits for the response.
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

fn loopback_if_unspecified(mut address: SocketAddr) -> SocketAddr {
    match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => address.set_ip(Ipv4Addr::LOCALHOST.into()),
        IpAddr::V6(ip) if ip.is_unspecified() => address.set_ip(Ipv6Addr::LOCALHOST.into()),
        _ => {}
    }
    address
}
