//! The answer to one caller, as far as it is given.

use super::{response_body::BodyChunk, ResponseBody};
use bytes::Bytes;
use http::{response, Response};
use tokio::sync::{mpsc, oneshot};

/// Pieces of an answer that wait for a caller who reads slowly.
const CHUNKS_LEN: usize = 16;

/// The answer to one caller, as far as it is given.
pub(super) enum Reply {
    /// Nothing was said yet.
    Open(oneshot::Sender<Response<ResponseBody>>),
    /// The head is out, pieces follow.
    Begun(mpsc::Sender<BodyChunk>),
    /// All is said.
    Done,
}

/// The caller left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CallerLeft;

impl Reply {
    /// Whether the head is out.
    pub(super) const fn has_begun(&self) -> bool {
        matches!(self, Self::Begun(_))
    }

    /// Waits until the caller has left.
    pub(super) async fn closed(&mut self) {
        match self {
            Self::Open(head) => head.closed().await,
            Self::Begun(chunks) => chunks.closed().await,
            Self::Done => std::future::pending().await,
        }
    }

    /// Gives a whole answer. One that has begun is broken off instead.
    pub(super) fn whole(&mut self, head: response::Parts, body: Bytes) -> Result<(), CallerLeft> {
        match std::mem::replace(self, Self::Done) {
            Self::Open(open) => {
                let response = Response::from_parts(head, ResponseBody::from(body));
                open.send(response).map_err(|_| CallerLeft)
            }
            Self::Begun(_) | Self::Done => Ok(()),
        }
    }

    /// Gives the head of an answer whose body follows.
    pub(super) fn begin(&mut self, head: response::Parts) -> Result<(), CallerLeft> {
        let (chunks, receiver) = mpsc::channel(CHUNKS_LEN);
        match std::mem::replace(self, Self::Begun(chunks)) {
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

    /// Gives a piece of the body.
    pub(super) async fn chunk(&mut self, chunk: Bytes) -> Result<(), CallerLeft> {
        match self {
            Self::Begun(chunks) => {
                let sent = chunks.send(BodyChunk::Data(chunk)).await;
                sent.map_err(|_| CallerLeft)
            }
            Self::Open(_) | Self::Done => Ok(()),
        }
    }

    /// Ends the body as whole.
    pub(super) async fn end(&mut self) -> Result<(), CallerLeft> {
        match std::mem::replace(self, Self::Done) {
            Self::Begun(chunks) => chunks.send(BodyChunk::End).await.map_err(|_| CallerLeft),
            Self::Open(_) | Self::Done => Ok(()),
        }
    }

    /// Ends the answer so that it does not look whole.
    pub(super) fn abort(&mut self) {
        *self = Self::Done;
    }
}
