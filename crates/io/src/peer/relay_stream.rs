//! Streams of a mesh connection that carry a connection to an upstream.

use super::{connection, PeerError};
use persimmon_core::{fleet::UpstreamIncarnation, ids::VmId, path::PathEnd};
use quinn::{Connection, RecvStream, SendStream, VarInt};
use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Relative priority of relayed bytes: messages between daemons go first.
const PRIORITY: i32 = -1;

/// Code of streams that are broken off.
const BROKEN_OFF: VarInt = VarInt::from_u32(1);

/// Receives the connections that peers ask for.
pub type RelaySink = Rc<dyn Fn(RelayRequest)>;

/// The sending half. The other side sees it broken off unless it is finished.
#[derive(Debug)]
pub struct RelayWriter {
    stream: SendStream,
    is_finished: bool,
}

impl RelayWriter {
    fn new(stream: SendStream) -> Self {
        // An error means that the connection has ended, which the next write reports.
        let _ = stream.set_priority(PRIORITY);
        Self {
            stream,
            is_finished: false,
        }
    }

    /// Ends the half: the bytes written are all.
    pub fn finish(&mut self) {
        // An error means that the other side has ended the stream.
        self.is_finished = self.stream.finish().is_ok();
    }

    async fn write_end(&mut self, end: PathEnd) -> bool {
        self.stream.write_all(&[code(end)]).await.is_ok()
    }
}

impl Drop for RelayWriter {
    fn drop(&mut self) {
        if !self.is_finished {
            // An error means that the stream has ended already.
            let _ = self.stream.reset(BROKEN_OFF);
        }
    }
}

impl AsyncWrite for RelayWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.stream), context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: a connection is either kept or broken off.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A connection to an upstream by way of a peer.
#[derive(Debug)]
pub struct RelayStream {
    writer: RelayWriter,
    reader: RecvStream,
}

impl RelayStream {
    /// Asks the peer of a connection to connect to an upstream.
    pub(super) async fn open(
        connection: &Connection,
        upstream: &UpstreamIncarnation,
    ) -> Result<Self, PathEnd> {
        let stream = Self::request(connection, upstream).await;
        let mut stream = stream.map_err(|error| {
            log::debug!("asking a peer for a connection failed: {error}");
            PathEnd::Unavailable
        })?;
        let mut reply = [0];
        match stream.reader.read_exact(&mut reply).await {
            Ok(()) if end(reply[0]) == PathEnd::Connected => Ok(stream),
            Ok(()) => Err(end(reply[0])),
            Err(error) => {
                log::debug!("the peer's answer about a connection was lost: {error}");
                Err(PathEnd::Unavailable)
            }
        }
    }

    async fn request(
        connection: &Connection,
        upstream: &UpstreamIncarnation,
    ) -> Result<Self, PeerError> {
        let encoded = postcard::to_stdvec(upstream).map_err(|e| PeerError::Codec(e.to_string()))?;
        let opened = connection.open_bi().await;
        let (writer, reader) = opened.map_err(|e| PeerError::Connection(e.to_string()))?;
        let mut writer = RelayWriter::new(writer);
        connection::write_frame(&mut writer.stream, &encoded.into()).await?;
        Ok(Self { writer, reader })
    }
}

impl AsyncRead for RelayStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.reader), context, buffer)
    }
}

impl AsyncWrite for RelayStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}

/// A peer's request for a connection to an upstream.
#[derive(Debug)]
pub struct RelayRequest {
    /// The peer's VM.
    pub peer: VmId,
    /// The upstream.
    pub upstream: UpstreamIncarnation,
    writer: RelayWriter,
    reader: RecvStream,
}

impl RelayRequest {
    /// Reads a request from a stream that a peer has opened.
    pub(super) async fn read(
        peer: VmId,
        writer: SendStream,
        mut reader: RecvStream,
    ) -> Result<Self, PeerError> {
        let encoded = connection::read_frame(&mut reader).await?;
        let upstream = postcard::from_bytes(&encoded);
        Ok(Self {
            peer,
            upstream: upstream.map_err(|e| PeerError::Codec(e.to_string()))?,
            writer: RelayWriter::new(writer),
            reader,
        })
    }

    /// Tells the peer that the connection is open. Returns none if the peer has given up.
    pub async fn accept(mut self) -> Option<(RecvStream, RelayWriter)> {
        let is_told = self.writer.write_end(PathEnd::Connected).await;
        is_told.then_some((self.reader, self.writer))
    }

    /// Tells the peer how connecting ended.
    pub async fn refuse(mut self, end: PathEnd) {
        if self.writer.write_end(end).await {
            self.writer.finish();
        }
    }
}

const fn code(end: PathEnd) -> u8 {
    match end {
        PathEnd::Connected => 0,
        PathEnd::Refused => 1,
        PathEnd::Silent => 2,
        PathEnd::Unavailable => 3,
    }
}

const fn end(code: u8) -> PathEnd {
    match code {
        0 => PathEnd::Connected,
        1 => PathEnd::Refused,
        2 => PathEnd::Silent,
        _ => PathEnd::Unavailable,
    }
}
