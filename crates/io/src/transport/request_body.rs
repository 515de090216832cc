//! The bodies of callers' requests.

use super::memory::{Held, Memory, NoRoom, Receiving};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    convert::Infallible,
    fmt,
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{task::spawn_local, time::timeout};

/// Time for which the rest of a refused request is read and discarded. A caller that still sends would not see the
/// refusal if the connection were closed at once.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Sizes of the blocks of a body that arrives in small pieces. Blocks are filled one after the other, so that a body
/// that stops takes little more than what has arrived of it, and the allocator reuses them for any other body.
const BLOCK_MIN_BYTES: usize = 512;
const BLOCK_MAX_BYTES: usize = 4 << 10;

/// Part of what has arrived that the next block adds.
const BLOCK_GROWTH: usize = 8;

/// A complete body, in blocks. Its bytes are held until the last copy is dropped.
#[derive(Clone)]
pub(crate) struct RequestBody(Arc<Blocks>);

struct Blocks {
    blocks: Vec<Vec<u8>>,
    len: usize,
    _held: Option<Held>,
}

impl RequestBody {
    /// Length of the body.
    pub(super) fn len(&self) -> usize {
        self.0.len
    }

    /// The body in one piece, for whom parts are of no use.
    pub(crate) fn into_bytes(self) -> Bytes {
        let Some(Blocks {
            mut blocks, _held, ..
        }) = Arc::into_inner(self.0)
        else {
            return Bytes::new();
        };
        let whole = match blocks.len() {
            0 | 1 => blocks.pop().unwrap_or_default(),
            _ => blocks.concat(),
        };
        match _held {
            Some(held) => held.attach(whole.into()),
            None => whole.into(),
        }
    }

    /// The body's bytes, in parts.
    pub(super) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.0.blocks.iter().map(Vec::as_slice)
    }
}

impl fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestBody")
            .field("len", &self.0.len)
            .finish_non_exhaustive()
    }
}

/// One block of a body.
struct Block {
    body: RequestBody,
    index: usize,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.body.0.blocks[self.index]
    }
}

/// The body of a request to an upstream or the store.
#[derive(Debug)]
pub enum OutgoingBody {
    /// In one piece.
    Whole(Full<Bytes>),
    /// In blocks.
    Blocks(OutgoingBlocks),
}

/// The blocks of a body that are left to send.
#[derive(Debug)]
pub struct OutgoingBlocks {
    body: RequestBody,
    next: usize,
    left_bytes: u64,
}

impl From<Full<Bytes>> for OutgoingBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Whole(body)
    }
}

impl From<RequestBody> for OutgoingBody {
    fn from(body: RequestBody) -> Self {
        let left_bytes = body.len() as u64;
        Self::Blocks(OutgoingBlocks {
            body,
            next: 0,
            left_bytes,
        })
    }
}

impl OutgoingBlocks {
    fn next(&mut self) -> Option<Bytes> {
        let len = self.body.0.blocks.get(self.next)?.len();
        let body = self.body.clone();
        let index = self.next;
        self.next += 1;
        self.left_bytes -= len as u64;
        Some(Bytes::from_owner(Block { body, index }))
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context),
            Self::Blocks(blocks) => Poll::Ready(blocks.next().map(|bytes| Ok(Frame::data(bytes)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Blocks(blocks) => blocks.left_bytes == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Blocks(blocks) => SizeHint::with_exact(blocks.left_bytes),
        }
    }
}

/// Why a body was not received.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// The caller's connection failed.
    Failed(String),
    /// The memory budget has no room for it; with its size as far as it is known.
    NoRoom(u64),
}

/// A body that is being received.
pub(crate) struct BodyReader {
    body: Incoming,
    receiving: Option<Receiving>,
    stated_bytes: Option<u64>,
    max_bytes: usize,
    blocks: Vec<Vec<u8>>,
    len: usize,
    is_complete: bool,
}

impl BodyReader {
    /// Begins to receive a body of at most `max_bytes`. With a memory budget, its bytes are held there.
    pub(crate) fn new(memory: Option<&Arc<Memory>>, body: Incoming, max_bytes: usize) -> Self {
        Self {
            stated_bytes: body.size_hint().exact(),
            is_complete: body.is_end_stream(),
            receiving: memory.map(Memory::receive),
            body,
            max_bytes,
            blocks: Vec::new(),
            len: 0,
        }
    }

    /// Whether the whole body is here.
    pub(super) const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// The size that the caller states, or what has arrived if it states none.
    pub(super) fn known_bytes(&self) -> u64 {
        self.stated_bytes.unwrap_or(self.len as u64)
    }

    /// Whether the caller states a longer body than this.
    pub(super) fn is_stated_above(&self, bytes: usize) -> bool {
        self.stated_bytes
            .is_some_and(|stated| stated > bytes as u64)
    }

    /// Fails if the head tells that the body is over the limit.
    pub(crate) fn check_stated(&self) -> Result<(), BodyError> {
        let stated = self.stated_bytes.unwrap_or_default();
        if stated > self.max_bytes as u64 {
            return Err(BodyError::TooLong);
        }
        Ok(())
    }

    /// Takes what has arrived already, without waiting for more.
    pub(crate) async fn receive_arrived(&mut self) -> Result<(), BodyError> {
        while !self.is_complete {
            let frame = poll_fn(|context| {
                Poll::Ready(match Pin::new(&mut self.body).poll_frame(context) {
                    Poll::Ready(frame) => Some(frame),
                    Poll::Pending => None,
                })
            });
            let Some(frame) = frame.await else {
                return Ok(());
            };
            self.take(frame).await?;
        }
        Ok(())
    }

    /// Receives the rest, or until at least `len` bytes are here.
    pub(crate) async fn receive_until(&mut self, len: usize) -> Result<(), BodyError> {
        while !self.is_complete && self.len < len {
            let frame = match &self.receiving {
                Some(receiving) => tokio::select! {
                    biased;
                    () = receiving.refused() => return Err(self.no_room()),
                    frame = self.body.frame() => frame,
                },
                None => self.body.frame().await,
            };
            self.take(frame).await?;
        }
        Ok(())
    }

    async fn take(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Result<(), BodyError> {
        let Some(frame) = frame else {
            self.is_complete = true;
            return Ok(());
        };
        let frame = frame.map_err(|error| BodyError::Failed(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        if self.len + data.len() > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        self.append(&data).await?;
        self.is_complete = self.body.is_end_stream();
        Ok(())
    }

    /// Copies data into blocks: a frame of the HTTP library keeps the whole buffer that it was read into.
    async fn append(&mut self, mut data: &[u8]) -> Result<(), BodyError> {
        while !data.is_empty() {
            let free = self.blocks.last().map_or(0, |b| b.capacity() - b.len());
            if free == 0 {
                self.add_block(data.len()).await?;
                continue;
            }
            let (now, later) = data.split_at(free.min(data.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            self.len += now.len();
            data = later;
        }
        Ok(())
    }

    /// Adds a block for `arrived_bytes` at least.
    async fn add_block(&mut self, arrived_bytes: usize) -> Result<(), BodyError> {
        let grown = (self.len / BLOCK_GROWTH).clamp(BLOCK_MIN_BYTES, BLOCK_MAX_BYTES);
        let stated_left = self.stated_bytes.map(|stated| stated as usize - self.len);
        let block_bytes = stated_left.map_or(grown, |left| grown.min(left));
        let block_bytes = block_bytes.max(arrived_bytes);
        if let Some(receiving) = &mut self.receiving {
            if let Err(NoRoom) = receiving.grow(block_bytes as u64).await {
                return Err(self.no_room());
            }
        }
        self.blocks.push(Vec::with_capacity(block_bytes));
        Ok(())
    }

    fn no_room(&self) -> BodyError {
        BodyError::NoRoom(self.known_bytes())
    }

    /// The complete body.
    pub(crate) fn complete(mut self) -> RequestBody {
        RequestBody(Arc::new(Blocks {
            blocks: std::mem::take(&mut self.blocks),
            len: self.len,
            _held: self.receiving.map(Receiving::complete),
        }))
    }

    /// Gives up what has been received. The rest is read and discarded for a time, up to the limit on a body.
    pub(crate) fn discard(self) {
        if !self.is_complete {
            spawn_local(discard(self.body, self.max_bytes));
        }
    }
}

async fn discard(mut body: Incoming, mut max_bytes: usize) {
    let all = async {
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            match max_bytes.checked_sub(len) {
                Some(left) => max_bytes = left,
                None => return,
            }
        }
    };
    // After the time, dropping the body closes the connection.
    let _ = timeout(DISCARD_TIMEOUT, all).await;
}
