//! All work on all upstreams, as far as this daemon knows.

use super::{Phase, Work, WorkId, WorkNote, WorkStart};
use crate::{
    catalog::EngineProfile,
    engine::{EngineLoad, Reader, Writer},
    ids::{SendId, UpstreamId},
    units::{Time, Tokens},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Number of this daemon in the ledger.
pub(super) const OWN: u32 = 0;

/// Prompt tokens that count as much as a caller's request without a prompt.
const WEIGHT_UNIT_TOKENS: f64 = 10_000.0;

/// What a late answer to a prompt of this size costs its caller, against other calls: the longer
/// the prompt, the more work waits for its answer.
pub(super) fn prompt_weight(prompt_tokens: Tokens) -> f64 {
    1.0 + prompt_tokens.get() as f64 / WEIGHT_UNIT_TOKENS
}

/// All work on all upstreams: this daemon's, and what its peers told of theirs.
#[derive(Debug, Default)]
pub struct Ledger {
    works: BTreeMap<WorkId, Work>,
    by_upstream: HashMap<UpstreamId, BTreeSet<WorkId>>,
    read_since: HashMap<UpstreamId, Time>,
}

impl Ledger {
    /// A request was sent.
    pub fn start(&mut self, id: WorkId, work: Work) {
        let of_upstream = self.by_upstream.entry(work.upstream.clone());
        of_upstream.or_default().insert(id);
        self.works.insert(id, work);
    }

    /// The first event of an answer came: its prompt is read.
    pub fn writing(&mut self, now: Time, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        if work.phase == Phase::Reading {
            work.phase = Phase::Writing { since: now };
            self.read_since.insert(work.upstream.clone(), now);
        }
    }

    /// A request is off its upstream.
    pub fn end(&mut self, now: Time, id: WorkId) -> Option<Work> {
        let work = self.works.remove(&id)?;
        if work.phase == Phase::Reading {
            self.read_since.insert(work.upstream.clone(), now);
        }
        if let Some(ids) = self.by_upstream.get_mut(&work.upstream) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_upstream.remove(&work.upstream);
                self.read_since.remove(&work.upstream);
            }
        }
        Some(work)
    }

    /// A peer told of its work.
    pub fn on_note(&mut self, now: Time, daemon_index: u32, note: WorkNote) {
        let id = |send| WorkId { daemon_index, send };
        match note {
            WorkNote::All(works) => {
                self.forget_daemon(now, daemon_index);
                for start in works {
                    self.start(id(start.send), work(now, start));
                }
            }
            WorkNote::Started(start) => self.start(id(start.send), work(now, start)),
            WorkNote::Writing(send) => self.writing(now, id(send)),
            WorkNote::Ended(send) => {
                self.end(now, id(send));
            }
            WorkNote::Sick { .. } => {}
        }
    }

    /// A peer is gone: its upstream connections are closed, and its work with them.
    pub fn forget_daemon(&mut self, now: Time, daemon_index: u32) {
        let first = WorkId {
            daemon_index,
            send: SendId::new(0),
        };
        let last = WorkId {
            daemon_index,
            send: SendId::new(u64::MAX),
        };
        let ids: Vec<_> = self.works.range(first..=last).map(|(id, _)| *id).collect();
        for id in ids {
            self.end(now, id);
        }
    }

    /// This daemon's work, as its peers are told.
    pub fn own_work(&self, now: Time) -> Vec<WorkStart> {
        let first = WorkId {
            daemon_index: OWN,
            send: SendId::new(0),
        };
        let last = WorkId {
            daemon_index: OWN,
            send: SendId::new(u64::MAX),
        };
        let own = self.works.range(first..=last);
        own.map(|(id, work)| work_start(now, id.send, work))
            .collect()
    }

    /// Requests on an upstream.
    pub fn requests_len(&self, upstream: &UpstreamId) -> usize {
        self.by_upstream.get(upstream).map_or(0, BTreeSet::len)
    }

    /// Prompts of all engines that are not read yet.
    pub fn works_on<'a>(&'a self, upstream: &UpstreamId) -> impl Iterator<Item = &'a Work> {
        let ids = self.by_upstream.get(upstream).into_iter().flatten();
        ids.filter_map(|id| self.works.get(id))
    }

    /// What runs on an engine, as its profile sees it.
    pub fn engine_load(
        &self,
        now: Time,
        upstream: &UpstreamId,
        profile: &EngineProfile,
    ) -> EngineLoad {
        let mut load = EngineLoad::default();
        let mut reading: Vec<&Work> = Vec::new();
        for work in self.works_on(upstream) {
            match work.phase {
                Phase::Reading => reading.push(work),
                Phase::Writing { .. } => load.writers.push(writer(work)),
            }
        }
        reading.sort_by_key(|work| work.sent_at);
        let since = self.read_since.get(upstream).copied().unwrap_or_default();
        let begun = reading.first().map(|work| work.sent_at.max(since));
        let mut spent_ms = begun.map_or(0.0, |begun| now.since(begun).get() as f64);
        for work in reading {
            let whole_ms = profile.read_ms(work.prompt_tokens);
            let left_ms = (whole_ms - spent_ms).max(0.0);
            spent_ms = (spent_ms - whole_ms).max(0.0);
            load.readers.push(reader(work, left_ms, whole_ms));
        }
        load
    }
}

fn work(now: Time, start: WorkStart) -> Work {
    let phase = match start.writing_ms {
        Some(ms) => Phase::Writing { since: now - ms },
        None => Phase::Reading,
    };
    Work {
        upstream: start.upstream,
        prompt_tokens: start.prompt_tokens,
        output_tokens: start.output_tokens,
        pause_target_ms: start.pause_target_ms,
        sent_at: now - start.age_ms,
        phase,
    }
}

/// One request of this daemon, as its peers are told.
pub(super) fn work_start(now: Time, send: SendId, work: &Work) -> WorkStart {
    WorkStart {
        send,
        upstream: work.upstream.clone(),
        prompt_tokens: work.prompt_tokens,
        output_tokens: work.output_tokens,
        pause_target_ms: work.pause_target_ms,
        age_ms: now.since(work.sent_at),
        writing_ms: match work.phase {
            Phase::Reading => None,
            Phase::Writing { since } => Some(now.since(since)),
        },
    }
}

fn writer(work: &Work) -> Writer {
    Writer {
        context_tokens: work.prompt_tokens,
        memory_tokens: work.prompt_tokens + work.output_tokens,
        pause_target_ms: work.pause_target_ms,
        weight: prompt_weight(work.prompt_tokens),
    }
}

fn reader(work: &Work, left_ms: f64, whole_ms: f64) -> Reader {
    let left_ratio = if whole_ms > 0.0 {
        left_ms / whole_ms
    } else {
        0.0
    };
    Reader {
        left_ms,
        left_tokens: Tokens::new((work.prompt_tokens.get() as f64 * left_ratio) as u64),
        memory_tokens: work.prompt_tokens + work.output_tokens,
        pause_target_ms: work.pause_target_ms,
    }
}
