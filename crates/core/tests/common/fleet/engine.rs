//! Simulated engine: continuous batching, chunked prefill by priority, KV memory and a cold start.

use persimmon_core::{
    ids::{AttemptId, BlockHash, Incarnation, RequestId},
    request::{Priority, UpstreamError},
    units::{Millis, Time},
    upstream::{CacheBatch, CacheChange},
};
use std::collections::{BTreeSet, VecDeque};

/// Parameters of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineParams {
    pub(crate) kv_tokens: u64,
    pub(crate) max_in_flight_requests: u32,
    /// Maximum number of prompt tokens that one step prefills.
    pub(crate) chunk_tokens: u64,
    /// Time of a step without prefill, which decodes one token of each stream.
    pub(crate) step_us: u64,
    /// Time that each prompt token adds to a step, in nanoseconds.
    pub(crate) prompt_token_ns: u64,
    /// Requests that a cold engine handles at a time.
    pub(crate) cold_requests: u32,
    /// Capacity of the prefix cache, in prompt blocks.
    pub(crate) cached_blocks: usize,
    /// Number of completions after which a cold engine handles one more request at a time.
    pub(crate) completions_per_request: u32,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            kv_tokens: 400_000,
            max_in_flight_requests: 128,
            chunk_tokens: 2_048,
            step_us: 10_000,
            prompt_token_ns: 10_000,
            cold_requests: 2,
            cached_blocks: 400,
            completions_per_request: 1,
        }
    }
}

impl EngineParams {
    /// Prefill rate while every step prefills `chunk_tokens`, in tokens per second.
    pub(crate) fn prefill_tokens_per_s(&self) -> f64 {
        let step_us = self.step_us + self.chunk_tokens * self.prompt_token_ns / 1_000;
        self.chunk_tokens as f64 * 1e6 / step_us as f64
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) attempt: AttemptId,
    pub(crate) priority: Priority,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) kv_tokens: u64,
    pub(crate) blocks: Vec<BlockHash>,
}

#[derive(Debug)]
struct Running {
    stream: Stream,
    start_order: u64,
    remaining_prefill_tokens: u64,
    step_prefill_tokens: u64,
    decoded: u64,
}

/// Output of a step for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Output {
    FirstToken(AttemptId),
    Done(AttemptId),
}

#[derive(Debug)]
pub(crate) struct SimulatedEngine {
    pub(crate) params: EngineParams,
    pub(crate) incarnation: Incarnation,
    pub(crate) cold_overloads_count: u32,
    running: Vec<Running>,
    cached: VecDeque<BlockHash>,
    events: Vec<CacheChange>,
    starts_count: u64,
    completions_count: u32,
    cold: bool,
    step_end: Option<Time>,
}

impl SimulatedEngine {
    pub(crate) fn new(params: EngineParams) -> Self {
        Self {
            params,
            incarnation: Incarnation::new(1),
            cold_overloads_count: 0,
            running: Vec::new(),
            cached: VecDeque::new(),
            events: Vec::new(),
            starts_count: 0,
            completions_count: 0,
            cold: false,
            step_end: None,
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    pub(crate) fn kv_held(&self) -> u64 {
        self.running.iter().map(|r| r.stream.kv_tokens).sum()
    }

    pub(crate) fn requests(&self) -> BTreeSet<RequestId> {
        let running = self.running.iter();
        running.map(|r| r.stream.attempt.request).collect()
    }

    pub(crate) fn step_end(&self) -> Option<Time> {
        self.step_end
    }

    /// Number of requests that the engine handles at a time now.
    pub(crate) fn bearable_requests(&self) -> u32 {
        let max_requests = self.params.max_in_flight_requests;
        if !self.cold {
            return max_requests;
        }
        let gained = self.completions_count / self.params.completions_per_request;
        max_requests.min(self.params.cold_requests + gained)
    }

    /// Restarts the engine, which is then cold. Returns the attempts that were lost.
    pub(crate) fn restart(&mut self) -> Vec<AttemptId> {
        self.incarnation = self.incarnation.next();
        self.cold = true;
        self.completions_count = 0;
        self.cached.clear();
        self.events.clear();
        self.step_end = None;
        let lost = std::mem::take(&mut self.running);
        lost.into_iter().map(|r| r.stream.attempt).collect()
    }

    /// Starts a stream and returns its cached prompt tokens. Rejects it if it exceeds the memory or
    /// the number of requests that the engine handles; the latter is counted while the engine is
    /// cold.
    pub(crate) fn start(&mut self, now: Time, stream: Stream) -> Result<u64, UpstreamError> {
        if self.kv_held() + stream.kv_tokens > self.params.kv_tokens {
            return Err(UpstreamError::Overloaded);
        }
        if self.in_flight() >= self.bearable_requests() {
            self.cold_overloads_count += u32::from(self.cold);
            return Err(UpstreamError::Overloaded);
        }
        let hit = stream.blocks.iter().take_while(|b| self.cached.contains(b));
        let hit_tokens = match stream.blocks.len() as u64 {
            0 => 0,
            len => stream.prompt_tokens * hit.count() as u64 / len,
        };
        self.store(&stream.blocks);
        self.starts_count += 1;
        self.running.push(Running {
            remaining_prefill_tokens: (stream.prompt_tokens - hit_tokens).max(1),
            stream,
            start_order: self.starts_count,
            step_prefill_tokens: 0,
            decoded: 0,
        });
        if self.step_end.is_none() {
            self.begin_step(now);
        }
        Ok(hit_tokens)
    }

    fn store(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            if !self.cached.contains(block) {
                self.cached.push_back(*block);
                self.events.push(CacheChange::Stored(*block));
            }
        }
        while self.cached.len() > self.params.cached_blocks {
            let block = self.cached.pop_front().unwrap();
            self.events.push(CacheChange::Evicted(block));
        }
    }

    /// The cache events from a sequence number on, or the whole cache.
    pub(crate) fn cache_batch(&self, from_seq_index: Option<u64>) -> CacheBatch {
        let from = from_seq_index.map(|from| (from as usize).min(self.events.len()));
        let changes = match from {
            Some(from) => self.events[from..].to_vec(),
            None => self
                .cached
                .iter()
                .copied()
                .map(CacheChange::Stored)
                .collect(),
        };
        CacheBatch {
            incarnation: self.incarnation,
            first_seq_index: from.unwrap_or(self.events.len()) as u64,
            changes,
            is_snapshot: from.is_none(),
        }
    }

    pub(crate) fn cancel(&mut self, request: RequestId) {
        self.running.retain(|r| r.stream.attempt.request != request);
    }

    fn begin_step(&mut self, now: Time) {
        self.step_end = None;
        if self.running.is_empty() {
            return;
        }
        let mut left = self.params.chunk_tokens;
        let mut order: Vec<&mut Running> = self.running.iter_mut().collect();
        order.sort_by_key(|r| (r.stream.priority, r.start_order));
        for running in order {
            running.step_prefill_tokens = running.remaining_prefill_tokens.min(left);
            left -= running.step_prefill_tokens;
        }
        let prompt = self.params.chunk_tokens - left;
        let us = self.params.step_us + prompt * self.params.prompt_token_ns / 1_000;
        self.step_end = Some(Time::from_us(now.as_us() + us));
    }

    /// Ends the step that is due, and begins the next one.
    pub(crate) fn end_step(&mut self, now: Time) -> Vec<Output> {
        let mut outputs = Vec::new();
        for running in &mut self.running {
            let attempt = running.stream.attempt;
            if running.remaining_prefill_tokens > 0
                && running.step_prefill_tokens < running.remaining_prefill_tokens
            {
                running.remaining_prefill_tokens -= running.step_prefill_tokens;
                continue;
            }
            if running.decoded == 0 {
                outputs.push(Output::FirstToken(attempt));
            }
            running.remaining_prefill_tokens = 0;
            running.decoded += 1;
            if running.decoded >= running.stream.output_tokens {
                outputs.push(Output::Done(attempt));
            }
        }
        let done = |r: &Running| r.decoded > 0 && r.decoded >= r.stream.output_tokens;
        let before = self.running.len();
        self.running.retain(|r| !done(r));
        self.completions_count += (before - self.running.len()) as u32;
        self.begin_step(now);
        outputs
    }

    /// Expected time of a prefill on an idle engine.
    pub(crate) fn idle_prefill_ms(&self, prompt_tokens: u64) -> Millis {
        let steps = prompt_tokens.div_ceil(self.params.chunk_tokens);
        let us = steps * self.params.step_us + prompt_tokens * self.params.prompt_token_ns / 1_000;
        Millis::new(us / 1_000)
    }
}
