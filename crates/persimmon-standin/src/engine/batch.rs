//! State of an engine: its batch, memory, models and warm-up. Callers pass the time.

use super::{
    cache_log::CacheLog,
    counters::EngineCounters,
    errors::CallRefusal,
    memory::Memory,
    segment::{covered_tokens, Segment},
    stream::{NewStream, Stream, StreamEvent},
    EngineSettings,
};
use crate::lagged::Lagged;
use flume::Sender;
use persimmon_core::{
    ids::{AdapterName, FencingNumber, Incarnation, ModelVersion, RequestId},
    units::{KvBytes, Time, Tokens},
    upstream::{CacheBatch, LoadReport, Role},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

/// State of an engine, under one lock.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(super) settings: EngineSettings,
    pub(super) incarnation: Incarnation,
    pub(super) memory: Memory,
    pub(super) log: CacheLog,
    pub(super) streams: BTreeMap<RequestId, Stream>,
    pub(super) segments: BTreeMap<RequestId, Vec<Segment>>,
    pub(super) models: BTreeMap<ModelVersion, BTreeSet<AdapterName>>,
    pub(super) loading: BTreeSet<ModelVersion>,
    pub(super) role: Role,
    pub(super) fencing: FencingNumber,
    pub(super) counters: EngineCounters,
    reports: Lagged<LoadReport>,
    arrival_count: u64,
    bearable_requests: u32,
    warm_up_completions_count: u32,
    last_step: Time,
    overloaded_since: Option<Time>,
    down_until: Option<Time>,
}

impl Batch {
    pub(crate) fn new(settings: EngineSettings, incarnation: Incarnation, now: Time) -> Self {
        let bearable_requests = match settings.starts_cold {
            true => settings.cold_bearable_requests,
            false => settings.max_in_flight_requests,
        };
        let mut batch = Self {
            memory: Memory::new(settings.kv_bytes, settings.kv_bytes_per_token),
            log: CacheLog::new(settings.cache_lag_ms, settings.cache_gap_every_count),
            streams: BTreeMap::new(),
            segments: BTreeMap::new(),
            models: settings.models.clone(),
            loading: BTreeSet::new(),
            role: Role::Both,
            fencing: FencingNumber::default(),
            counters: EngineCounters::default(),
            reports: Lagged::new(settings.load_lag_ms, LoadReport::default()),
            arrival_count: 0,
            bearable_requests,
            warm_up_completions_count: 0,
            last_step: now,
            overloaded_since: None,
            down_until: None,
            incarnation,
            settings,
        };
        batch.reports = Lagged::new(batch.settings.load_lag_ms, batch.report_now());
        batch
    }

    /// Simulates a new process, empty and cold. The counters are kept.
    pub(crate) fn restart(&mut self, now: Time) {
        self.close_all_streams();
        let counters = mem::take(&mut self.counters);
        let mut next = Self::new(self.settings.clone(), self.incarnation.next(), now);
        next.counters = counters;
        next.turn_cold();
        *self = next;
    }

    /// Turns the engine cold without a restart.
    pub(crate) fn turn_cold(&mut self) {
        self.bearable_requests = self.settings.cold_bearable_requests;
        self.warm_up_completions_count = 0;
    }

    /// Whether the engine crashed and has not restarted yet.
    pub(crate) fn is_down(&self, now: Time) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Checks a fencing number and keeps the highest.
    pub(crate) fn check_fencing(&mut self, fencing: FencingNumber) -> Result<(), CallRefusal> {
        if self.settings.checks_fencing && fencing < self.fencing {
            self.counters.fenced_requests += 1;
            return Err(CallRefusal::Fenced);
        }
        self.fencing = self.fencing.max(fencing);
        Ok(())
    }

    /// Adds a stream. An older attempt of the same request is closed.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        spec: NewStream,
        reader: Sender<StreamEvent>,
    ) -> Result<(), CallRefusal> {
        let checked = self.check_stream(&spec);
        let kv = checked.inspect_err(|_| self.counters.refused_requests += 1)?;
        if let Some(mut earlier) = self.streams.remove(&spec.request) {
            earlier.close();
            self.release(&earlier);
        }
        let in_flight = self.streams.len() as u32 + 1;
        let max = &mut self.counters.most_in_flight_requests;
        *max = (*max).max(in_flight);
        if in_flight > self.bearable_requests && self.is_cold() {
            self.counters.over_bearable_requests += 1;
            self.overloaded_since.get_or_insert(now);
        }
        self.counters.started_requests += 1;
        self.arrival_count += 1;
        let stream = Stream::new(spec, self.arrival_count, kv, reader);
        self.streams.insert(stream.spec.request, stream);
        Ok(())
    }

    fn check_stream(&self, spec: &NewStream) -> Result<KvBytes, CallRefusal> {
        if self.role == Role::Prefill {
            return Err(CallRefusal::WrongRole);
        }
        let adapters = self.models.get(&spec.model);
        let adapters = adapters.ok_or(CallRefusal::ModelNotLoaded)?;
        if spec.adapter.as_ref().is_some_and(|a| !adapters.contains(a)) {
            return Err(CallRefusal::AdapterNotLoaded);
        }
        let known = self.streams.get(&spec.request);
        if known.is_some_and(|stream| stream.spec.attempt >= spec.attempt) {
            return Err(CallRefusal::OldAttempt);
        }
        let segment_tokens = self.covered(&spec.request);
        let total_tokens = spec.prompt_tokens + spec.output_tokens;
        let kv = total_tokens
            .saturating_sub(segment_tokens)
            .kv_bytes(self.settings.kv_bytes_per_token);
        if kv > self.memory.total() {
            return Err(CallRefusal::TooLong);
        }
        let full = self.streams.len() as u32 >= self.settings.max_in_flight_requests;
        match full && known.is_none() {
            true => Err(CallRefusal::Overloaded),
            false => Ok(kv),
        }
    }

    /// Attaches a new reader to a stream that still exists.
    pub(crate) fn resume(
        &mut self,
        request: RequestId,
        offset: Tokens,
        reader: Sender<StreamEvent>,
    ) -> Result<(), CallRefusal> {
        let stream = self.streams.get_mut(&request);
        let stream = stream.filter(|stream| stream.can_resume_at(offset));
        let stream = stream.ok_or(CallRefusal::UnknownStream)?;
        stream.resume(reader, offset);
        Ok(())
    }

    /// Ends a request and releases its memory.
    pub(crate) fn cancel(&mut self, request: RequestId) {
        if let Some(mut stream) = self.streams.remove(&request) {
            stream.close();
            self.release(&stream);
            self.counters.cancelled_requests += 1;
        }
        self.drop_segments(request);
    }

    pub(super) fn covered(&self, request: &RequestId) -> Tokens {
        let segments = self.segments.get(request);
        segments.map_or(Tokens::ZERO, |segments| covered_tokens(segments))
    }

    fn drop_segments(&mut self, request: RequestId) {
        for segment in self.segments.remove(&request).unwrap_or_default() {
            self.memory.release(segment.kv);
        }
    }

    fn release(&mut self, stream: &Stream) {
        if stream.running {
            self.memory.release(stream.kv);
        }
    }

    fn is_cold(&self) -> bool {
        self.bearable_requests < self.settings.max_in_flight_requests
    }

    /// Whether a cold engine has been above its capacity for longer than `overload_bear_ms`.
    fn overloaded_too_long(&mut self, now: Time) -> bool {
        if !self.is_cold() || self.streams.len() as u32 <= self.bearable_requests {
            self.overloaded_since = None;
        }
        let tolerated_ms = self.settings.overload_bear_ms;
        self.overloaded_since
            .is_some_and(|since| since + tolerated_ms <= now)
    }

    fn crash(&mut self, now: Time) {
        self.counters.falls_count += 1;
        self.restart(now);
        self.down_until = Some(now + self.settings.fall_over_ms);
    }

    fn close_all_streams(&mut self) {
        for stream in self.streams.values_mut() {
            stream.close();
        }
        self.streams.clear();
        self.segments.clear();
    }

    /// Advances the batch to `now`, at a fraction of its rates.
    pub(crate) fn step(&mut self, now: Time, rate_ratio: f64) {
        let secs = now.as_us().saturating_sub(self.last_step.as_us()) as f64 / 1e6;
        self.last_step = now;
        if self.is_down(now) {
            return;
        }
        if self.overloaded_too_long(now) {
            self.crash(now);
            return;
        }
        let cold_ratio = match self.is_cold() {
            true => self.settings.cold_rate_ratio,
            false => 1.0,
        };
        let share = secs * rate_ratio * cold_ratio;
        self.admit(now);
        self.decode(share);
        self.prefill(share);
        self.deliver(now);
        let report = self.report_now();
        self.reports.record(now, report);
    }

    fn scheduling_order(&self) -> Vec<RequestId> {
        let mut order: Vec<&Stream> = self.streams.values().collect();
        order.sort_by_key(|stream| (stream.spec.priority, stream.arrival_count));
        order.iter().map(|stream| stream.spec.request).collect()
    }

    fn admit(&mut self, now: Time) {
        for request in self.scheduling_order() {
            let covered = self.covered(&request);
            let Some(stream) = self.streams.get_mut(&request) else {
                continue;
            };
            if stream.running {
                continue;
            }
            let cached = self.memory.cached_tokens(&stream.spec.blocks);
            if !self.memory.reserve(stream.kv, now, &mut self.log) {
                return;
            }
            stream.start(cached.max(covered));
            self.counters.cached_tokens += cached.get();
        }
    }

    fn prefill(&mut self, secs: f64) {
        let mut budget = secs * self.settings.prefill_tokens_per_s.get();
        let total = budget;
        for request in self.scheduling_order() {
            if let Some(stream) = self.streams.get_mut(&request) {
                if stream.prefilling() {
                    stream.prefill(&mut budget);
                }
            }
        }
        for segment in self.segments.values_mut().flatten() {
            let spent = segment.to_prefill_tokens.min(budget);
            segment.to_prefill_tokens -= spent;
            budget -= spent;
        }
        self.counters.prefilled_tokens += (total - budget) as u64;
    }

    fn decode(&mut self, secs: f64) {
        let tokens = secs * self.settings.decode_tokens_per_s.get();
        for stream in self.streams.values_mut() {
            if stream.running && !stream.prefilling() {
                stream.decode(tokens);
            }
        }
    }

    fn deliver(&mut self, now: Time) {
        let mut ended = Vec::new();
        for (request, stream) in &mut self.streams {
            stream.send(now);
            let kept = self.settings.keep_stream_ms;
            let expired = stream.unread_since.is_some_and(|since| since + kept <= now);
            if stream.delivered() || expired {
                ended.push((*request, stream.delivered()));
            }
        }
        for (request, complete) in ended {
            self.finish(now, request, complete);
        }
    }

    fn finish(&mut self, now: Time, request: RequestId, complete: bool) {
        let Some(mut stream) = self.streams.remove(&request) else {
            return;
        };
        self.release(&stream);
        self.drop_segments(request);
        if !complete {
            stream.close();
            return;
        }
        self.counters.complete_requests += 1;
        self.memory.store(&stream.spec.blocks, now, &mut self.log);
        self.warm_up_completions_count += 1;
        if self.is_cold() && self.warm_up_completions_count >= self.settings.warm_step_requests {
            self.warm_up_completions_count = 0;
            self.bearable_requests += 1;
        }
    }

    fn report_now(&self) -> LoadReport {
        let requests = self.streams.keys().chain(self.segments.keys());
        LoadReport {
            incarnation: self.incarnation,
            age_ms: self.settings.load_lag_ms,
            in_flight_requests: self.streams.len() as u32,
            bearable_requests: Some(self.bearable_requests)
                .filter(|_| self.settings.reports_bearable),
            kv_held_bytes: self.memory.held(),
            requests: requests.copied().collect(),
            models: self.models.clone(),
            loading: self.loading.clone(),
            fencing: Some(self.fencing).filter(|_| self.settings.checks_fencing),
        }
    }

    /// Returns the load report that is visible now, which is `load_lag_ms` old.
    pub(crate) fn report(&mut self, now: Time) -> LoadReport {
        self.reports.visible(now).unwrap_or_default()
    }

    /// Returns cache events from a sequence number on, or a snapshot of the cache.
    pub(crate) fn cache(&self, now: Time, from: Option<u64>) -> CacheBatch {
        match from {
            Some(from) => self.log.since(now, from, self.incarnation),
            None => self.log.snapshot(self.memory.blocks(), self.incarnation),
        }
    }

    /// Returns the current counters.
    pub(crate) fn counters(&self) -> EngineCounters {
        EngineCounters {
            in_flight_requests: self.streams.len() as u32,
            bearable_requests: self.bearable_requests,
            kv_held_bytes: self.memory.held(),
            cached_blocks: self.memory.blocks().len() as u64,
            ..self.counters.clone()
        }
    }
}
