//! One stream of an engine's batch.

use flume::Sender;
use persimmon_core::{
    ids::{AdapterName, AttemptNumber, BlockHash, ModelVersion, RequestId},
    request::Priority,
    units::{KvBytes, Time, Tokens},
};

/// Event for the reader of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamEvent {
    /// The token at an offset.
    Token(u64),
    /// The answer is complete.
    Done {
        /// Number of tokens of the answer.
        output_tokens: Tokens,
    },
    /// The stream is closed, and its connection must end without a finish marker.
    Closed,
}

/// A request for a stream.
#[derive(Debug)]
pub(crate) struct NewStream {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) model: ModelVersion,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) blocks: Vec<BlockHash>,
    pub(crate) output_tokens: Tokens,
    pub(crate) offset_tokens: Tokens,
    pub(crate) priority: Priority,
}

/// A stream that waits for memory, runs, or is kept without a reader.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) spec: NewStream,
    pub(crate) arrival_count: u64,
    pub(crate) kv: KvBytes,
    pub(crate) running: bool,
    to_prefill_tokens: f64,
    decoded_tokens: f64,
    sent_tokens: u64,
    reader: Option<Sender<StreamEvent>>,
    pub(crate) unread_since: Option<Time>,
}

impl Stream {
    pub(crate) fn new(
        spec: NewStream,
        arrival_count: u64,
        kv: KvBytes,
        reader: Sender<StreamEvent>,
    ) -> Self {
        let start = spec.offset_tokens.get();
        Self {
            spec,
            arrival_count,
            kv,
            running: false,
            to_prefill_tokens: 0.0,
            decoded_tokens: start as f64,
            sent_tokens: start,
            reader: Some(reader),
            unread_since: None,
        }
    }

    /// Starts the stream with `ready` tokens of the prompt in memory.
    pub(crate) fn start(&mut self, ready: Tokens) {
        let total_tokens = self.spec.prompt_tokens + self.spec.offset_tokens;
        // The last token is always computed: its output is the first token of the answer.
        self.to_prefill_tokens = total_tokens.saturating_sub(ready).get().max(1) as f64;
        self.running = true;
    }

    pub(crate) fn prefilling(&self) -> bool {
        self.running && self.to_prefill_tokens > 0.0
    }

    /// Spends tokens of `budget` on the prompt. The prompt's last token yields the first token of the
    /// answer.
    pub(crate) fn prefill(&mut self, budget: &mut f64) {
        let spent = self.to_prefill_tokens.min(*budget);
        *budget -= spent;
        self.to_prefill_tokens -= spent;
        if self.to_prefill_tokens <= 0.0 {
            self.decoded_tokens += 1.0;
        }
    }

    /// Decodes `tokens` more.
    pub(crate) fn decode(&mut self, tokens: f64) {
        let end = self.spec.output_tokens.get() as f64;
        self.decoded_tokens = (self.decoded_tokens + tokens).min(end);
    }

    pub(crate) fn done(&self) -> bool {
        let end = self.spec.output_tokens.get() as f64;
        self.running && !self.prefilling() && self.decoded_tokens >= end
    }

    /// Sends the new tokens to the reader, and records the time if the reader is gone.
    pub(crate) fn send(&mut self, now: Time) {
        let Some(reader) = &self.reader else {
            return;
        };
        let ready = (self.decoded_tokens as u64).min(self.spec.output_tokens.get());
        let mut reader_gone = reader.is_disconnected();
        while !reader_gone && self.sent_tokens < ready {
            reader_gone = reader.send(StreamEvent::Token(self.sent_tokens)).is_err();
            self.sent_tokens += 1;
        }
        if !reader_gone && self.done() {
            let output_tokens = self.spec.output_tokens;
            reader_gone = reader.send(StreamEvent::Done { output_tokens }).is_err();
        }
        if reader_gone {
            self.reader = None;
            self.unread_since = Some(now);
        }
    }

    /// Whether the reader got the complete answer.
    pub(crate) fn delivered(&self) -> bool {
        self.done() && self.reader.is_some()
    }

    /// Attaches a new reader, which has the tokens before `offset_tokens`.
    pub(crate) fn resume(&mut self, reader: Sender<StreamEvent>, offset_tokens: Tokens) {
        self.close();
        self.reader = Some(reader);
        self.sent_tokens = offset_tokens.get();
        self.unread_since = None;
    }

    /// Whether the stream can resume at `offset_tokens`.
    pub(crate) fn can_resume_at(&self, offset_tokens: Tokens) -> bool {
        offset_tokens >= self.spec.offset_tokens && offset_tokens <= self.spec.output_tokens
    }

    /// Closes the stream for its reader.
    pub(crate) fn close(&mut self) {
        if let Some(reader) = self.reader.take() {
            // A send error means that the reader is gone.
            let _ = reader.send(StreamEvent::Closed);
        }
    }
}
