//! The response to one request, from the thread that serves it.

use crate::{
    traffic::CallerDisconnected,
    transport::{BodyChunk, ResponseBody},
};
use bytes::Bytes;
use http::{response::Parts, Response};
use tokio::sync::{mpsc, oneshot};

/// Chunks that wait for a client that reads slowly. Beyond that its thread waits.
const CHUNKS_MAX_LEN: usize = 16;

/// Answers one request. A client whose responder is dropped sees its connection closed.
#[derive(Debug)]
pub struct Responder(oneshot::Sender<Response<ResponseBody>>);

impl Responder {
    pub(super) fn new() -> (Self, oneshot::Receiver<Response<ResponseBody>>) {
        let (sender, response) = oneshot::channel();
        (Self(sender), response)
    }

    /// Whether the client has closed its connection, or its sending side.
    pub fn has_disconnected(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// The client has disconnected.
    pub fn send(self, response: Response<Bytes>) -> Result<(), CallerDisconnected> {
        let response = response.map(ResponseBody::from);
        self.0.send(response).map_err(|_| CallerDisconnected)
    }

    /// Sends the head of a response whose body follows in chunks.
    ///
    /// # Errors
    ///
    /// The client has disconnected.
    pub fn stream(self, head: Parts) -> Result<ChunkSender, CallerDisconnected> {
        let (chunks, receiver) = mpsc::channel(CHUNKS_MAX_LEN);
        let response = Response::from_parts(head, ResponseBody::Chunks(receiver));
        self.0.send(response).map_err(|_| CallerDisconnected)?;
        Ok(ChunkSender(chunks))
    }
}

/// Sends the body of a response in chunks. A body whose sender is dropped without its end is truncated.
#[derive(Debug)]
pub struct ChunkSender(mpsc::Sender<BodyChunk>);

impl ChunkSender {
    /// Sends a chunk, and waits while the client reads slowly.
    ///
    /// # Errors
    ///
    /// The client has disconnected, or has read nothing for the listener's time limit.
    pub fn send(&self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        let sent = self.0.blocking_send(BodyChunk::Data(chunk));
        sent.map_err(|_| CallerDisconnected)
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// The client has disconnected.
    pub fn end(self) -> Result<(), CallerDisconnected> {
        let sent = self.0.blocking_send(BodyChunk::End);
        sent.map_err(|_| CallerDisconnected)
    }
}
