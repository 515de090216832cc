//! The answer to one caller, as far as it is given.

use super::{answer_body::Piece, AnswerBody};
use bytes::Bytes;
use http::{response, Response};
use tokio::sync::{mpsc, oneshot};

/// Pieces of an answer that wait for a caller who reads slowly.
const PIECES_LEN: usize = 16;

/// The answer to one caller, as far as it is given.
pub(super) enum Reply {
    /// Nothing was said yet.
    Open(oneshot::Sender<Response<AnswerBody>>),
    /// The head is out, pieces follow.
    Begun(mpsc::Sender<Piece>),
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
            Self::Begun(pieces) => pieces.closed().await,
            Self::Done => std::future::pending().await,
        }
    }

    /// Gives a whole answer. One that has begun is broken off instead.
    pub(super) fn whole(&mut self, head: response::Parts, body: Bytes) -> Result<(), CallerLeft> {
        match std::mem::replace(self, Self::Done) {
            Self::Open(open) => {
                let response = Response::from_parts(head, AnswerBody::from(body));
                open.send(response).map_err(|_| CallerLeft)
            }
            Self::Begun(_) | Self::Done => Ok(()),
        }
    }

    /// Gives the head of an answer whose body follows.
    pub(super) fn begin(&mut self, head: response::Parts) -> Result<(), CallerLeft> {
        let (pieces, receiver) = mpsc::channel(PIECES_LEN);
        match std::mem::replace(self, Self::Begun(pieces)) {
            Self::Open(open) => {
                let response = Response::from_parts(head, AnswerBody::Pieces(receiver));
                open.send(response).map_err(|_| CallerLeft)
            }
            other => {
                *self = other;
                Ok(())
            }
        }
    }

    /// Gives a piece of the body.
    pub(super) async fn piece(&mut self, piece: Bytes) -> Result<(), CallerLeft> {
        match self {
            Self::Begun(pieces) => {
                let sent = pieces.send(Piece::Data(piece)).await;
                sent.map_err(|_| CallerLeft)
            }
            Self::Open(_) | Self::Done => Ok(()),
        }
    }

    /// Ends the body as whole.
    pub(super) async fn end(&mut self) -> Result<(), CallerLeft> {
        match std::mem::replace(self, Self::Done) {
            Self::Begun(pieces) => pieces.send(Piece::End).await.map_err(|_| CallerLeft),
            Self::Open(_) | Self::Done => Ok(()),
        }
    }

    /// Ends the answer so that it does not look whole.
    pub(super) fn break_off(&mut self) {
        *self = Self::Done;
    }
}
