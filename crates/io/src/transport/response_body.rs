//! The body of an answer to a caller.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};
use thiserror::Error;
use tokio::sync::mpsc;

/// An answer that can't be finished: its connection is closed, so that it does not look whole.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the answer was broken off: the connection is closed")]
pub struct TruncatedResponse;

/// A piece of an answer's body.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// Pieces as they arrive. Without an end the body is broken off.
    Chunks(mpsc::Receiver<BodyChunk>),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => match chunks.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyChunk::Data(bytes))) => {
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Poll::Ready(Some(BodyChunk::End)) => {
                    *body = Self::Whole(None);
                    Poll::Ready(None)
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(TruncatedResponse))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
