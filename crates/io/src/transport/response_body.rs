//! The body of a response to a caller.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};
use thiserror::Error;
use tokio::sync::mpsc;

/// A response that ends before its last chunk. The connection is closed, so that the caller does
/// not take the response for a complete one.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("response truncated before its last chunk: the connection is closed")]
pub struct TruncatedResponse;

/// A chunk of a response body.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body, or nothing once it has been sent.
    Full(Option<Bytes>),
    /// Chunks as they arrive. A channel that closes without [`BodyChunk::End`] truncates the body.
    Chunks(mpsc::Receiver<BodyChunk>),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        let body = self.get_mut();
        match body {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => match chunks.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyChunk::Data(bytes))) => {
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Poll::Ready(Some(BodyChunk::End)) => {
                    *body = Self::Full(None);
                    Poll::Ready(None)
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(TruncatedResponse))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
