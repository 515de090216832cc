//! Finds the ends of responses in the bytes of a connection.

use bytes::{Bytes, BytesMut};
use persimmon_platform::stub_formats::request_id_of_raw;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// End of a body in chunks.
const CHUNKS_END: &[u8] = b"\r\n0\r\n\r\n";

/// Longest response that is kept.
const KEPT_MAX_BYTES: usize = 16 << 10;

/// A response that has been received whole.
#[derive(Clone, Debug)]
pub(super) struct CompleteResponse {
    /// The whole response; without its end if it is long.
    pub(super) bytes: Bytes,
    /// The request that it names.
    pub(super) request_id: Option<String>,
}

/// How the body of a response ends.
#[derive(Clone, Copy, Debug)]
enum BodyEnd {
    /// With this many bytes after the head.
    Length(usize),
    /// With the last chunk.
    Chunks,
    /// With the connection.
    Close,
}

/// Finds the ends of responses, of which one at a time is on its way.
#[derive(Debug, Default)]
pub(super) struct ResponseFraming {
    received: BytesMut,
    received_len: usize,
    /// Length of the head, and how the body ends.
    head: Option<(usize, BodyEnd)>,
}

impl ResponseFraming {
    /// Takes the next bytes. Returns the response if they end it.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<CompleteResponse> {
        let tail_start = self.received.len().saturating_sub(CHUNKS_END.len());
        self.received.extend_from_slice(bytes);
        self.received_len += bytes.len();
        if self.head.is_none() {
            let mut windows = self.received.windows(HEAD_END.len());
            let head_len = windows.position(|window| window == HEAD_END)? + HEAD_END.len();
            let head = String::from_utf8_lossy(&self.received[..head_len]);
            self.head = Some((head_len, body_end(&head)));
        }
        let (head_len, body_end) = self.head?;
        let is_complete = match body_end {
            BodyEnd::Length(len) => self.received_len >= head_len + len,
            BodyEnd::Chunks => self.received[tail_start..].ends_with(CHUNKS_END),
            BodyEnd::Close => false,
        };
        if is_complete {
            return Some(self.take(head_len));
        }
        // The head and the last bytes are all that is looked at later.
        let excess_len = self.received.len().saturating_sub(KEPT_MAX_BYTES);
        if excess_len > 0 {
            let tail = self.received.split_off(head_len + excess_len);
            self.received.truncate(head_len);
            self.received.unsplit(tail);
        }
        None
    }

    fn take(&mut self, head_len: usize) -> CompleteResponse {
        let bytes = std::mem::take(self).received.freeze();
        let head = String::from_utf8_lossy(&bytes[..head_len]);
        CompleteResponse {
            request_id: request_id_of_raw(&head).map(str::to_owned),
            bytes: bytes.clone(),
        }
    }
}

fn body_end(head: &str) -> BodyEnd {
    let field = |wanted: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        let found = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case(wanted));
        found.map(|(_, value)| value.trim())
    };
    if let Some(len) = field("content-length").and_then(|len| len.parse().ok()) {
        return BodyEnd::Length(len);
    }
    match field("transfer-encoding") {
        Some(_) => BodyEnd::Chunks,
        None => BodyEnd::Close,
    }
}
