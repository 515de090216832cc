//! What a client of a crowd sends.

use bytes::Bytes;

/// Bytes that are sent at a time where a client sends without an end.
const REPEATED_BYTES: usize = 64 << 10;

/// Data of one chunk of a body in chunks.
const CHUNK_BYTES: usize = 4 << 10;

/// What a client of a crowd sends on each of its connections. It never reads.
#[derive(Clone, Debug)]
pub struct Script {
    pub(super) opening: Bytes,
    /// What is sent over and over after the opening; empty if the client then stops.
    pub(super) repeated: Bytes,
}

impl Script {
    /// Sends `opening` and nothing more.
    pub fn stops_after(opening: impl Into<Bytes>) -> Self {
        Self {
            opening: opening.into(),
            repeated: Bytes::new(),
        }
    }

    /// Sends `opening`, and then `repeated` without an end.
    pub fn repeats(opening: impl Into<Bytes>, repeated: impl Into<Bytes>) -> Self {
        Self {
            opening: opening.into(),
            repeated: repeated.into(),
        }
    }

    /// Sends `opening`, and then letters without an end or a line break.
    pub fn without_end(opening: impl Into<Bytes>) -> Self {
        Self::repeats(opening, vec![b'x'; REPEATED_BYTES])
    }

    /// Sends `head`, and then chunks of a body without an end.
    pub fn chunks_without_end(head: impl Into<Bytes>) -> Self {
        let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + CHUNK_BYTES, b'x');
        chunk.extend_from_slice(b"\r\n");
        Self::repeats(head, chunk.repeat(REPEATED_BYTES / CHUNK_BYTES))
    }

    /// Sends `head`, and all but the last byte of a body of `stated_bytes`.
    pub fn all_but_one_byte(head: &str, stated_bytes: usize) -> Self {
        let mut opening = head.as_bytes().to_vec();
        opening.resize(opening.len() + stated_bytes - 1, b'x');
        Self::stops_after(opening)
    }
}
