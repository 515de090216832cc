//! Holds the bytes of a response against the memory budget, from the upstream's socket to the caller's.

use super::{
    memory::{chunk_bytes, Held, Memory},
    reply::{CallerLeft, Reply},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::sync::Arc;

/// Buffer of the upstream's connection while its response is read.
const UPSTREAM_BUFFER_BYTES: u64 = 16 << 10;

/// What is held for a streamed response; nothing without a memory budget.
pub(super) struct HeldResponse(Option<Held>);

impl HeldResponse {
    /// Begins to hold a response. While the budget has no room, the upstream's socket is not read.
    pub(super) async fn begin(
        memory: Option<&Arc<Memory>>,
        reply: &mut Reply,
    ) -> Result<Self, CallerLeft> {
        let mut held = Self(memory.map(Memory::response));
        held.grow(reply, UPSTREAM_BUFFER_BYTES).await?;
        Ok(held)
    }

    /// Holds a chunk that was received. While the budget has no room, the upstream's socket is not read.
    pub(super) async fn receive(
        &mut self,
        reply: &mut Reply,
        chunk: &Bytes,
    ) -> Result<(), CallerLeft> {
        self.grow(reply, chunk_bytes(chunk.len())).await
    }

    /// Moves what is held to the bytes that are sent to the caller, other than `partial_bytes` that remain.
    pub(super) fn send(&mut self, chunk: Bytes, partial_bytes: usize) -> Bytes {
        let Some(held) = &mut self.0 else {
            return chunk;
        };
        let chunk = if chunk.is_empty() {
            chunk
        } else {
            held.split_chunk(chunk)
        };
        held.shrink_to(UPSTREAM_BUFFER_BYTES + partial_bytes as u64);
        chunk
    }

    async fn grow(&mut self, reply: &mut Reply, bytes: u64) -> Result<(), CallerLeft> {
        let Some(held) = &mut self.0 else {
            return Ok(());
        };
        tokio::select! {
            biased;
            () = held.grow(bytes) => Ok(()),
            () = reply.closed() => Err(CallerLeft),
        }
    }
}

/// Reads a complete body of at most `max_bytes`. With a memory budget, its bytes are held there, and the upstream's
/// socket is not read while they do not fit.
///
/// # Errors
///
/// The body is too long or breaks off.
pub(super) async fn collect(
    memory: Option<&Arc<Memory>>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, String> {
    let Some(memory) = memory else {
        let collected = Limited::new(body, max_bytes).collect().await;
        return match collected {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) => Err(error.to_string()),
        };
    };
    let mut held = memory.response();
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > max_bytes {
            return Err("length limit exceeded".to_owned());
        }
        // The buffer grows to up to twice its content.
        held.grow(data.len() as u64 * 2).await;
        received.extend_from_slice(&data);
    }
    received.shrink_to_fit();
    held.shrink_to(received.len() as u64);
    Ok(held.attach(received.into()))
}
