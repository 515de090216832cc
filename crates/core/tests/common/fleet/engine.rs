//! A model engine: continuous batching, chunked prefill by priority, KV memory, a cold start.

use persimmon_core::{
    ids::{AttemptId, BlockHash, Incarnation, RequestId},
    request::{Priority, UpstreamError},
    units::{Millis, Time},
    upstream::{CacheBatch, CacheChange},
};
use std::collections::{BTreeSet, VecDeque};

/// What an engine is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineMake {
    pub(crate) kv_tokens: u64,
    pub(crate) max_in_flight_requests: u32,
    /// Prompt tokens that one step prefills at most.
    pub(crate) chunk_tokens: u64,
    /// Time of a step without prefill: one token for each stream.
    pub(crate) step_us: u64,
    /// Time that a prompt token adds to a step, in nanoseconds.
    pub(crate) prompt_token_ns: u64,
    /// Requests that an engine bears when it has just started.
    pub(crate) cold_requests: u32,
    /// Prompt blocks that its prefix cache holds.
    pub(crate) cached_blocks: usize,
    /// Completions for each further request that it bears.
    pub(crate) completions_per_request: u32,
}

impl Default for EngineMake {
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

impl EngineMake {
    /// Prompt tokens a second while steps are full.
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
    order: u64,
    prefill_left: u64,
    in_step: u64,
    decoded: u64,
}

/// What a step brought about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Output {
    FirstToken(AttemptId),
    Done(AttemptId),
}

#[derive(Debug)]
pub(crate) struct FakeEngine {
    pub(crate) make: EngineMake,
    pub(crate) incarnation: Incarnation,
    pub(crate) falls_count: u32,
    running: Vec<Running>,
    cached: VecDeque<BlockHash>,
    events: Vec<CacheChange>,
    starts_count: u64,
    completions_count: u32,
    cold: bool,
    step_end: Option<Time>,
}

impl FakeEngine {
    pub(crate) fn new(make: EngineMake) -> Self {
        Self {
            make,
            incarnation: Incarnation::new(1),
            falls_count: 0,
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

    /// Requests that it bears now.
    pub(crate) fn bears(&self) -> u32 {
        let most = self.make.max_in_flight_requests;
        if !self.cold {
            return most;
        }
        let gained = self.completions_count / self.make.completions_per_request;
        most.min(self.make.cold_requests + gained)
    }

    /// Starts anew, cold: what ran is lost.
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

    /// Takes a stream; one more than it bears makes it fall over.
    pub(crate) fn start(&mut self, now: Time, stream: Stream) -> Result<u64, UpstreamError> {
        if self.kv_held() + stream.kv_tokens > self.make.kv_tokens {
            return Err(UpstreamError::Overloaded);
        }
        if self.in_flight() >= self.bears() {
            self.falls_count += u32::from(self.cold);
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
            prefill_left: (stream.prompt_tokens - hit_tokens).max(1),
            stream,
            order: self.starts_count,
            in_step: 0,
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
        while self.cached.len() > self.make.cached_blocks {
            let block = self.cached.pop_front().unwrap();
            self.events.push(CacheChange::Evicted(block));
        }
    }

    /// Cache events from a sequence number on, or the whole cache.
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
        let mut left = self.make.chunk_tokens;
        let mut order: Vec<&mut Running> = self.running.iter_mut().collect();
        order.sort_by_key(|r| (r.stream.priority, r.order));
        for running in order {
            running.in_step = running.prefill_left.min(left);
            left -= running.in_step;
        }
        let prompt = self.make.chunk_tokens - left;
        let us = self.make.step_us + prompt * self.make.prompt_token_ns / 1_000;
        self.step_end = Some(Time::from_us(now.as_us() + us));
    }

    /// Ends the step that is due and begins the next one.
    pub(crate) fn end_step(&mut self, now: Time) -> Vec<Output> {
        let mut outputs = Vec::new();
        for running in &mut self.running {
            let attempt = running.stream.attempt;
            if running.prefill_left > 0 && running.in_step < running.prefill_left {
                running.prefill_left -= running.in_step;
                continue;
            }
            if running.decoded == 0 {
                outputs.push(Output::FirstToken(attempt));
            }
            running.prefill_left = 0;
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

    /// Expected time of a prefill on an empty engine.
    pub(crate) fn alone(&self, prompt_tokens: u64) -> Millis {
        let steps = prompt_tokens.div_ceil(self.make.chunk_tokens);
        let us = steps * self.make.step_us + prompt_tokens * self.make.prompt_token_ns / 1_000;
        Millis::new(us / 1_000)
    }
}
