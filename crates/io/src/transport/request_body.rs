//! Receives the bodies of callers' requests.

use super::memory::{Memory, NoRoom, Receiving};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::{sync::Arc, time::Duration};
use tokio::{task::spawn_local, time::timeout};

/// Time for which the rest of a refused request is read and discarded. A caller that still sends would not see the
/// refusal if the connection were closed at once.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body was not received.
#[derive(Debug)]
pub(super) enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// The caller's connection failed.
    Failed(String),
    /// The memory budget has no room for it; with its size as far as it is known.
    NoRoom(u64),
}

/// Receives a body of at most `max_bytes`. With a memory budget, its bytes are held there.
///
/// # Errors
///
/// The body is too long, breaks off, or does not fit in the budget.
pub(super) async fn receive(
    memory: Option<&Arc<Memory>>,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let Some(memory) = memory else {
        let collected = Limited::new(body, max_bytes).collect().await;
        return match collected {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
            Err(error) => Err(BodyError::Failed(error.to_string())),
        };
    };
    let stated_bytes = body.size_hint().exact();
    if !memory.admits_request(stated_bytes.unwrap_or_default()) {
        spawn_local(discard(body));
        return Err(BodyError::NoRoom(stated_bytes.unwrap_or_default()));
    }
    receive_counted(memory.receive(), body, stated_bytes, max_bytes).await
}

async fn receive_counted(
    mut receiving: Receiving,
    mut body: Incoming,
    stated_bytes: Option<u64>,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    // The memory of a stated size is mapped at once but used only as the bytes arrive. Without one, the buffer
    // grows to up to twice its content.
    let (capacity_bytes, factor) = match stated_bytes {
        Some(bytes) if bytes > max_bytes as u64 => return Err(BodyError::TooLong),
        Some(bytes) => (bytes as usize, 1),
        None => (0, 2),
    };
    let mut received = Vec::with_capacity(capacity_bytes);
    loop {
        let frame = tokio::select! {
            biased;
            () = receiving.refused() => return Err(refuse(&receiving, body, stated_bytes)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| BodyError::Failed(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        if let Err(NoRoom) = receiving.grow(data.len() as u64 * factor).await {
            return Err(refuse(&receiving, body, stated_bytes));
        }
        received.extend_from_slice(&data);
    }
    received.shrink_to_fit();
    Ok(receiving.complete(received.into()))
}

fn refuse(receiving: &Receiving, body: Incoming, stated_bytes: Option<u64>) -> BodyError {
    spawn_local(discard(body));
    BodyError::NoRoom(stated_bytes.unwrap_or_else(|| receiving.held_bytes()))
}

async fn discard(mut body: Incoming) {
    let all = async { while let Some(Ok(_)) = body.frame().await {} };
    // After the time, dropping the body closes the connection.
    let _ = timeout(DISCARD_TIMEOUT, all).await;
}
