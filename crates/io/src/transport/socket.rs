//! TCP connections to upstreams and the store, and the options of all sockets.

use persimmon_core::{path::PathEnd, units::ByteCount};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// Time limit for connecting. It is shorter than the second after which TCP resends a lost packet.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// TCP user timeout: a connection fails when sent data or keep-alive probes stay unacknowledged for this time.
/// A sound upstream may be silent for a second.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Buffers of a caller's socket. Most requests and responses fit. Buffers that grow by themselves hold up to 4 MB for
/// each slow caller, and as much for each one that sends without an end.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
const SEND_BUFFER_BYTES: usize = 4 << 10;

/// The buffers for a large body and a large response, as far as there is room for them: at 8 ms the one is enough for
/// 30 Mbit/s, the other for 200.
const LARGE_RECEIVE_BUFFER_BYTES: usize = 32 << 10;
const LARGE_SEND_BUFFER_BYTES: usize = 128 << 10;

/// What the kernel may hold for a socket for each byte of its buffers, whose sizes it doubles.
const KERNEL_FACTOR: usize = 2;

/// What the kernel may hold for a caller's connection with its small buffers.
pub(super) const CALLER_SOCKET_BYTES: ByteCount =
    kernel_bytes(RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES);

/// The same for the large buffers.
pub(super) const LARGE_RECEIVE_BYTES: ByteCount = kernel_bytes(LARGE_RECEIVE_BUFFER_BYTES);
pub(super) const LARGE_SEND_BYTES: ByteCount = kernel_bytes(LARGE_SEND_BUFFER_BYTES);

const fn kernel_bytes(buffer_bytes: usize) -> ByteCount {
    ByteCount::new((KERNEL_FACTOR * buffer_bytes) as u64)
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG_LEN: u32 = 1_024;

/// TCP keep-alive on connections to upstreams: the idle time before the first probe, the time between two
/// probes, and the number of unanswered probes after which the connection fails. Where a user timeout is set, some
/// systems let that decide instead.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES_COUNT: u32 = 2;

/// A connection that was not opened.
#[derive(Debug)]
pub(super) struct ConnectError {
    pub(super) end: PathEnd,
    pub(super) reason: String,
}

/// Opens a connection with the options for upstreams, from this VM's address `source` if given.
pub(super) async fn connect(
    address: SocketAddr,
    source: Option<IpAddr>,
) -> Result<TcpStream, ConnectError> {
    let failed = |end, reason: String| ConnectError { end, reason };
    let stream = match timeout(CONNECT_TIMEOUT, open(address, source)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(failed(end_of(&error), error.to_string())),
        Err(_) => return Err(failed(PathEnd::Silent, "connecting timed out".to_owned())),
    };
    set_socket_options(&stream)
        .and_then(|()| enable_keepalive(&stream))
        .and_then(|()| discard_unsent_on_close(&stream))
        .map_err(|error| failed(PathEnd::Refused, error.to_string()))?;
    Ok(stream)
}

async fn open(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Only the other side's word counts as a refusal. Errors of this VM, such as a lack of descriptors, say nothing
/// of the upstream.
fn end_of(error: &io::Error) -> PathEnd {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => PathEnd::Refused,
        _ => PathEnd::Silent,
    }
}

/// Listens for clients. The receive buffers of their connections are bounded from the first byte.
///
/// # Errors
///
/// The address can't be used.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_LEN)
}

/// Sets the receive buffer of a caller's socket to the large or the small size.
pub(super) fn set_large_receive_buffer(stream: &TcpStream, is_large: bool) -> io::Result<()> {
    let bytes = if is_large {
        LARGE_RECEIVE_BUFFER_BYTES
    } else {
        RECEIVE_BUFFER_BYTES
    };
    SockRef::from(stream).set_recv_buffer_size(bytes)
}

/// Sets the large send buffer of a caller's socket.
pub(super) fn set_large_send_buffer(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(LARGE_SEND_BUFFER_BYTES)
}

/// Sets `TCP_NODELAY`, and the timeout for data that the peer does not acknowledge.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Sets the options of a caller's socket where what is held for callers is counted. A caller that reads nothing for
/// `unread_timeout` is disconnected: the kernel applies the user timeout to a closed window, too. The send buffer is
/// bounded, because the kernel's memory is the VM's.
pub(crate) fn set_held_caller_options(
    stream: &TcpStream,
    unread_timeout: Duration,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unread_timeout))?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)
}

/// Enables TCP keep-alive probes, which detect a peer that disappeared while a connection is
/// silent.
fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES_COUNT);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Resets the connection when it is closed. Otherwise the kernel goes on delivering the bytes of a request
/// that was abandoned, and its upstream may run it long after.
fn discard_unsent_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
