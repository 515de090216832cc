//! Model of an engine that prefills and decodes in passes.

use persimmon_core::{catalog::EngineProfile, dispatch::OrderOutcome, units::Tokens};
use std::collections::BTreeMap;

/// One request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) tag: u64,
    /// Time to prefill what is left of this engine's part of the prompt.
    pub(crate) read_ms: f64,
    /// Tokens of the part that are not prefilled; 0 if passes are limited by time instead.
    pub(crate) read_tokens: f64,
    /// Whether this engine is a helper for the request.
    pub(crate) is_helper: bool,
    /// Parts that helpers have not prefilled yet.
    pub(crate) parts_open: usize,
    /// Tokens whose KV cache this engine has at the end of the prefill, and of the events.
    pub(crate) context: Tokens,
    pub(crate) event_tokens: Tokens,
    pub(crate) events_left: u32,
    pub(crate) last_event_ms: f64,
    pub(crate) begun: bool,
}

/// Progress made in a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Progress {
    /// A helper's part is prefilled.
    PartRead { tag: u64 },
    /// An event of an answer, and the pause before it.
    Event { tag: u64, pause_ms: f64, last: bool },
}

#[derive(Debug, Default)]
pub(crate) struct Engine {
    pub(crate) jobs: Vec<Job>,
    /// End of the running pass.
    pub(crate) pass_ends_ms: Option<f64>,
    /// Memory reserved for requests that other engines answer, by ticket.
    pub(crate) held: BTreeMap<String, Tokens>,
    /// Times that the KV memory was exceeded.
    pub(crate) overruns_count: u32,
    is_overrun: bool,
}

impl Engine {
    /// Reserves memory if it is free.
    pub(crate) fn reserve(
        &mut self,
        profile: &EngineProfile,
        ticket: &str,
        tokens: Tokens,
    ) -> OrderOutcome {
        let used_tokens = self.memory_tokens() + tokens;
        if !self.held.contains_key(ticket) && used_tokens > profile.kv_tokens {
            return OrderOutcome::Refused;
        }
        self.held.insert(ticket.to_owned(), tokens);
        OrderOutcome::Done
    }

    /// Drops what a request has here.
    pub(crate) fn forget(&mut self, tag: u64) {
        self.jobs.retain(|job| job.tag != tag);
        self.held.retain(|ticket, _| !is_ticket_of(ticket, tag));
    }

    fn memory_tokens(&self) -> Tokens {
        let jobs = self.jobs.iter().filter(|job| !job.is_helper);
        let jobs = jobs.map(|job| job.context);
        jobs.chain(self.held.values().copied()).sum()
    }

    /// Ends the pass if it is due, and begins the next one.
    pub(crate) fn run_passes(&mut self, now_ms: f64, profile: &EngineProfile) -> Vec<Progress> {
        let is_overrun = self.memory_tokens() > profile.kv_tokens;
        self.overruns_count += u32::from(is_overrun && !self.is_overrun);
        self.is_overrun = is_overrun;
        let mut progress = Vec::new();
        if self.pass_ends_ms.is_some_and(|ends| ends <= now_ms) {
            self.pass_ends_ms = None;
            self.finish(now_ms, &mut progress);
        }
        if self.pass_ends_ms.is_none() && self.jobs.iter().any(can_work) {
            self.pass_ends_ms = Some(now_ms + self.begin(profile));
        }
        progress
    }

    /// Begins a pass, and returns its duration in ms.
    fn begin(&mut self, profile: &EngineProfile) -> f64 {
        let writers = self.jobs.iter().filter(|job| writes(job));
        let writing = writers.clone().count();
        let added: f64 = writers.map(|job| profile.sequence_ms(job.context)).sum();
        let held = self.held.values();
        let held: f64 = held.map(|tokens| profile.sequence_ms(*tokens)).sum();
        let writes_ms = if writing > 0 {
            profile.pass_ms(added + held)
        } else {
            0.0
        };
        let chunk_ms = profile.chunk_tokens.get() as f64 / profile.prefill_tokens_per_ms;
        let steps = if writing > 0 {
            f64::from(profile.stride_len)
        } else {
            1.0
        };
        let mut room_ms = chunk_ms * steps;
        let mut room_tokens = profile.chunk_tokens.get() as f64 * steps;
        let mut read_ms = 0.0;
        let (helped, own): (Vec<_>, Vec<_>) = self.jobs.iter_mut().partition(|job| job.is_helper);
        for job in helped.into_iter().chain(own) {
            let part = if job.read_tokens > 0.0 {
                let tokens = job.read_tokens.min(room_tokens);
                let part = job.read_ms * tokens / job.read_tokens;
                job.read_tokens -= tokens;
                room_tokens -= tokens;
                part
            } else {
                job.read_ms.min(room_ms)
            };
            job.read_ms -= part;
            room_ms -= part;
            read_ms += part;
        }
        (writes_ms + read_ms).max(0.1)
    }

    fn finish(&mut self, now_ms: f64, progress: &mut Vec<Progress>) {
        self.jobs.retain(|job| {
            let done = job.is_helper && job.read_ms <= 0.0;
            if done {
                progress.push(Progress::PartRead { tag: job.tag });
            }
            !done
        });
        for job in self.jobs.iter_mut().filter(|job| writes(job)) {
            if !job.begun {
                job.begun = true;
                job.last_event_ms = now_ms;
                continue;
            }
            job.events_left -= 1;
            job.context += job.event_tokens;
            progress.push(Progress::Event {
                tag: job.tag,
                pause_ms: now_ms - job.last_event_ms,
                last: job.events_left == 0,
            });
            job.last_event_ms = now_ms;
        }
        self.jobs.retain(|job| job.is_helper || job.events_left > 0);
    }
}

/// Whether a reservation is for this request.
pub(crate) fn is_ticket_of(ticket: &str, tag: u64) -> bool {
    let request = format!("request-{tag}");
    ticket
        .strip_prefix(&request)
        .is_some_and(|rest| !rest.starts_with(|next: char| next.is_ascii_digit()))
}

fn writes(job: &Job) -> bool {
    !job.is_helper && job.read_ms <= 0.0 && job.parts_open == 0
}

fn can_work(job: &Job) -> bool {
    job.read_ms > 0.0 || writes(job)
}
