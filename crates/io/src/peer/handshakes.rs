//! Bounds the handshakes that are under way: anybody who reaches the address can begin one.

use quinn::{Incoming, ServerConfig};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Most handshakes under way. A fleet that starts at once stays below.
const HANDSHAKES_MAX_LEN: usize = 256;

/// Handshakes under way above which a client must first show that it has its address.
const UNVALIDATED_MAX_LEN: usize = 128;

/// Bytes that are buffered for connections that are not accepted yet: for each, and for all.
const INCOMING_BUFFER_BYTES: u64 = 64 << 10;
const INCOMING_BUFFERS_BYTES: u64 = 4 << 20;

/// Bounds what connections take that are not accepted yet.
pub(super) fn bound_incoming(config: &mut ServerConfig) {
    config.max_incoming(HANDSHAKES_MAX_LEN);
    config.incoming_buffer_size(INCOMING_BUFFER_BYTES);
    config.incoming_buffer_size_total(INCOMING_BUFFERS_BYTES);
}

/// The handshakes that are under way at one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Handshakes(Arc<Semaphore>);

impl Default for Handshakes {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(HANDSHAKES_MAX_LEN)))
    }
}

impl Handshakes {
    /// Admits a handshake, which counts until the permit is dropped. One too many is refused; a sound peer tries
    /// again.
    pub(super) fn admit(&self, incoming: Incoming) -> Option<(Incoming, OwnedSemaphorePermit)> {
        let under_way_len = HANDSHAKES_MAX_LEN - self.0.available_permits();
        if under_way_len >= UNVALIDATED_MAX_LEN && incoming.may_retry() {
            if let Err(error) = incoming.retry() {
                log::debug!("a peer's address can't be validated: {error}");
            }
            return None;
        }
        match Arc::clone(&self.0).try_acquire_owned() {
            Ok(permit) => Some((incoming, permit)),
            Err(_) => {
                incoming.refuse();
                None
            }
        }
    }
}
