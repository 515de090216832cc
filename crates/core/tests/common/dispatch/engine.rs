//! Model of an engine that prefills and decodes in passes.

use persimmon_core::{catalog::EngineProfile, units::Tokens};

/// Tokens in one event of an answer.
const EVENT_TOKENS: Tokens = Tokens::new(51);

/// One request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) tag: u64,
    /// Time to prefill what is left of this engine's part of the prompt.
    pub(crate) read_ms: f64,
    /// Whether this engine is a helper for the request.
    pub(crate) is_helper: bool,
    /// Parts that helpers have not prefilled yet.
    pub(crate) parts_open: usize,
    pub(crate) context: Tokens,
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
}

impl Engine {
    /// Ends the pass if it is due, and begins the next one.
    pub(crate) fn run_passes(&mut self, now_ms: f64, profile: &EngineProfile) -> Vec<Progress> {
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
        let writes_ms = if writing > 0 {
            profile.pass_ms(added)
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
        let mut read_ms = 0.0;
        let (helped, own): (Vec<_>, Vec<_>) = self.jobs.iter_mut().partition(|job| job.is_helper);
        for job in helped.into_iter().chain(own) {
            let part = job.read_ms.min(room_ms);
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
            job.context += EVENT_TOKENS;
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

fn writes(job: &Job) -> bool {
    !job.is_helper && job.read_ms <= 0.0 && job.parts_open == 0
}

fn can_work(job: &Job) -> bool {
    job.read_ms > 0.0 || writes(job)
}
