//! The response to one caller and its progress.

use super::{response_body::BodyChunk, ResponseBody};
use bytes::Bytes;
use http::{response, Response};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of body chunks for a caller that reads slowly.
const CHUNKS_LEN: usize = 16;

/// The same where the memory budget bounds the bytes in the queue. The upstream's response is read to its end while
/// the budget has room: upstreams cut off responses that stay unread.
const HELD_CHUNKS_LEN: usize = 1 << 16;

/// The response to one caller, by what has been sent of it.
pub(super) enum Reply {
    /// Nothing has been sent yet.
    Open(oneshot::Sender<Response<ResponseBody>>),
    /// The head has been sent, chunks follow.
    Streaming(mpsc::Sender<BodyChunk>),
    /// The response has ended.
    Done,
}

/// The caller disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CallerLeft;

impl Reply {
    /// Whether the head has been sent and chunks may follow.
    pub(super) const fn is_streaming(&self) -> bool {
        matches!(self, Self::Streaming(_))
    }

    /// Waits until the caller has disconnected.
    pub(super) async fn closed(&mut self) {
        match self {
            Self::Open(head) => head.closed().await,
            Self::Streaming(chunks) => chunks.closed().await,
            Self::Done => std::future::pending().await,
        }
    }

    /// Sends a complete response. If a response is already streaming, it is aborted instead.
    pub(super) fn full(&mut self, head: response::Parts, body: Bytes) -> Result<(), CallerLeft> {
        match std::mem::replace(self, Self::Done) {
            Self::Open(open) => {
                let response = Response::from_parts(head, ResponseBody::from(body));
                open.send(response).map_err(|_| CallerLeft)
            }
            Self::Streaming(_) | Self::Done => Ok(()),
        }
    }

    /// Sends the head of a response whose body follows in chunks.
    /// `is_held` tells whether the memory budget bounds the bytes of the chunks.
    pub(super) fn begin(&mut self, head: response::Parts, is_held: bool) -> Result<(), CallerLeft> {
        let chunks_len = if is_held { HELD_CHUNKS_LEN } else { CHUNKS_LEN };
        let (chunks, receiver) = mpsc::channel(chunks_len);
        match std::mem::replace(self, Self::Streaming(chunks)) {
            Self::Open(open) => {
                let response = Response::from_parts(head, ResponseBody::Chunks(receiver));
                open.send(response).map_err(|_| CallerLeft)
            }
            other => {
                *self = other;
                Ok(())
            }
        }
    }

    /// Sends a chunk of the body.
    pub(super) async fn chunk(&mut self, chunk: Bytes) -> Result<(), CallerLeft> {
        match self {
            Self::Streaming(chunks) => {
                let sent = chunks.send(BodyChunk::Data(chunk)).await;
                sent.map_err(|_| CallerLeft)
            }
            Self::Open(_) | Self::Done => Ok(()),
        }
    }

    /// Ends the body as complete.
    pub(super) async fn end(&mut self) -> Result<(), CallerLeft> {
        match std::mem::replace(self, Self::Done) {
            Self::Streaming(chunks) => chunks.send(BodyChunk::End).await.map_err(|_| CallerLeft),
            Self::Open(_) | Self::Done => Ok(()),
        }
    }

    /// Ends the response; the body of a streaming one is truncated.
    pub(super) fn abort(&mut self) {
        *self = Self::Done;
    }
}
