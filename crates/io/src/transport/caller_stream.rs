//! A caller's connection, whose buffers grow only as the memory budget has room.

use super::{
    memory::{Held, HeldSocket, Memory},
    places::Place,
    socket,
};
use persimmon_core::units::ByteCount;
use std::{
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{ready, Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{sleep, Sleep},
};

/// Bytes of a head that the buffers of a connection hold.
pub(super) const SHORT_HEAD_BYTES: usize = 8 << 10;

/// What a longer head takes, for each of its bytes: the buffer that it is read into, and its parts.
pub(super) const LONG_HEAD_FACTOR: usize = 3;

/// What a connection's socket is to do before it is read again.
#[derive(Debug)]
pub(super) enum SocketRequest {
    /// Take the large receive buffer.
    Grow(HeldSocket),
    /// Return to the small one.
    Shrink,
}

/// A caller's connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    place: Rc<Place>,
    memory: Option<Arc<Memory>>,
    /// Time within which a head that has begun must be complete.
    head_timeout: Duration,
    head_overdue: Option<Pin<Box<Sleep>>>,
    held_head: Option<Held>,
    held_receive_buffer: Option<HeldSocket>,
    /// Whether the receive buffer is small again, but may still be filled beyond that.
    is_draining: bool,
    held_send_buffer: Option<HeldSocket>,
    is_unread: bool,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        place: Rc<Place>,
        memory: Option<Arc<Memory>>,
        head_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            place,
            memory,
            head_timeout,
            head_overdue: None,
            held_head: None,
            held_receive_buffer: None,
            is_draining: false,
            held_send_buffer: None,
            is_unread: false,
        }
    }

    fn adjust_receive_buffer(&mut self) -> io::Result<()> {
        match self.place.take_socket_request() {
            None => Ok(()),
            Some(SocketRequest::Grow(held)) => {
                self.held_receive_buffer = Some(held);
                self.is_draining = false;
                socket::set_large_receive_buffer(&self.stream, true)
            }
            Some(SocketRequest::Shrink) => {
                self.is_draining = true;
                socket::set_large_receive_buffer(&self.stream, false)
            }
        }
    }

    /// Gives up the large receive buffer, once all that it held has been read.
    fn on_drained(&mut self) {
        if self.is_draining {
            self.held_receive_buffer = None;
            self.is_draining = false;
        }
    }

    /// Fails if a head that has begun is overdue.
    fn check_head_time(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if !self.place.awaits_head() || self.place.on_read(0) == 0 {
            self.head_overdue = None;
            return Ok(());
        }
        let timeout = self.head_timeout;
        let overdue = self
            .head_overdue
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        match overdue.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }

    /// Holds what a long head takes. Fails if it does not fit.
    fn hold_head(&mut self, head_bytes: usize) -> io::Result<()> {
        let Some(memory) = &self.memory else {
            return Ok(());
        };
        if head_bytes <= SHORT_HEAD_BYTES || self.held_head.is_some() {
            return Ok(());
        }
        let bytes = ByteCount::new((SHORT_HEAD_BYTES * LONG_HEAD_FACTOR) as u64);
        self.held_head = memory.long_head(bytes);
        match self.held_head {
            Some(_) => Ok(()),
            None => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }

    /// Records the progress of a write.
    fn on_write<T>(&mut self, written: &Poll<io::Result<T>>) {
        match written {
            Poll::Ready(_) if self.is_unread => {
                self.is_unread = false;
                self.place.on_written();
            }
            Poll::Ready(_) => {}
            Poll::Pending => {
                self.is_unread = true;
                self.place.on_unread();
            }
        }
    }

    /// Takes the large send buffer for the first response, or when there is room for it.
    fn grow_send_buffer(&mut self) {
        if self.held_send_buffer.is_some() {
            return;
        }
        let memory = self.memory.as_ref();
        self.held_send_buffer = memory.and_then(Memory::large_send_buffer);
        if self.held_send_buffer.is_some() {
            if let Err(error) = socket::set_large_send_buffer(&self.stream) {
                log::debug!("a caller's send buffer stays small: {error}");
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.adjust_receive_buffer()?;
        let before_len = buffer.filled().len();
        if Pin::new(&mut self.stream)
            .poll_read(context, buffer)?
            .is_pending()
        {
            self.on_drained();
            self.check_head_time(context)?;
            return Poll::Pending;
        }
        let head_bytes = self.place.on_read(buffer.filled().len() - before_len);
        self.hold_head(head_bytes)?;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.grow_send_buffer();
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.place.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.grow_send_buffer();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.on_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
