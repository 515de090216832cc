//! Applying change records: each once, in order, never a lower generation.

use super::{ChangeRecord, ConfigSettings, Configuration};
use crate::{decision::Record, ids::Generation, Context};
use std::sync::Arc;

/// The configuration in force and the change records behind it.
#[derive(Debug, Default)]
pub(super) struct History {
    pub(super) current: Arc<Configuration>,
    pub(super) records: Vec<ChangeRecord>,
    applied: Vec<Generation>,
}

impl History {
    pub(super) fn generation(&self) -> Generation {
        self.current.generation
    }

    pub(super) fn take_applied(&mut self) -> Vec<Generation> {
        std::mem::take(&mut self.applied)
    }

    /// Applies the records that follow on. True where the generation rose.
    pub(super) fn apply(
        &mut self,
        ctx: &mut Context<'_>,
        settings: &ConfigSettings,
        records: Vec<ChangeRecord>,
        source: &str,
    ) -> bool {
        let before = self.generation();
        for record in records {
            if record.generation != self.generation().next() {
                continue;
            }
            match record.change.apply(&self.current, record.generation) {
                Ok(next) => self.current = Arc::new(next),
                Err(error) => {
                    alarm(ctx, format!("generation {}: {error}", record.generation));
                    break;
                }
            }
            self.note(ctx, Some(&record), source);
            self.records.push(record);
        }
        let excess = self.records.len().saturating_sub(settings.history());
        self.records.drain(..excess);
        self.generation() > before
    }

    /// Takes a whole configuration if it is newer. True where the generation rose.
    pub(super) fn adopt(
        &mut self,
        ctx: &mut Context<'_>,
        whole: Configuration,
        source: &str,
    ) -> bool {
        if whole.generation <= self.generation() {
            return false;
        }
        self.current = Arc::new(whole);
        self.records.clear();
        self.note(ctx, None, source);
        true
    }

    /// The records after a generation, or none where some of them are no longer held.
    pub(super) fn after(&self, generation: Generation) -> Option<Vec<ChangeRecord>> {
        let first = self.records.first()?.generation;
        if first > generation.next() {
            return None;
        }
        let later = self.records.iter().filter(|r| r.generation > generation);
        Some(later.cloned().collect())
    }

    fn note(&mut self, ctx: &mut Context<'_>, record: Option<&ChangeRecord>, source: &str) {
        self.applied.push(self.generation());
        ctx.log(Record::Applied {
            generation: self.generation(),
            plan: record.map(|record| record.plan.clone()),
            source: source.into(),
        });
    }
}

fn alarm(ctx: &mut Context<'_>, message: String) {
    ctx.log(Record::Alarm {
        name: "config_unreadable",
        message: format!("{message}; check that all daemons run one version"),
    });
}
