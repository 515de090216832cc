//! Applies change records in generation order, each exactly once; the generation never decreases.

use super::{ChangeRecord, ConfigSettings, Configuration};
use crate::{decision::Record, ids::Generation, Context};
use std::sync::Arc;

/// The configuration in force and the most recent change records that led to it.
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

    /// Applies the records that directly follow the current generation and skips all others. A
    /// record that does not apply raises an alarm and ends the batch. Returns whether the
    /// generation increased.
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
                    raise_alarm(ctx, format!("generation {}: {error}", record.generation));
                    break;
                }
            }
            self.record_applied(ctx, Some(&record), source);
            self.records.push(record);
        }
        let excess = self
            .records
            .len()
            .saturating_sub(settings.max_history_len());
        self.records.drain(..excess);
        self.generation() > before
    }

    /// Replaces the configuration by `snapshot` if `snapshot` is newer, and clears the change
    /// records. Returns whether the generation increased.
    pub(super) fn install_snapshot(
        &mut self,
        ctx: &mut Context<'_>,
        snapshot: Configuration,
        source: &str,
    ) -> bool {
        if snapshot.generation <= self.generation() {
            return false;
        }
        self.current = Arc::new(snapshot);
        self.records.clear();
        self.record_applied(ctx, None, source);
        true
    }

    /// Returns the records after `generation`, or `None` if some of them are no longer retained.
    pub(super) fn records_after(&self, generation: Generation) -> Option<Vec<ChangeRecord>> {
        let first = self.records.first()?.generation;
        if first > generation.next() {
            return None;
        }
        let newer = self.records.iter().filter(|r| r.generation > generation);
        Some(newer.cloned().collect())
    }

    fn record_applied(
        &mut self,
        ctx: &mut Context<'_>,
        record: Option<&ChangeRecord>,
        source: &str,
    ) {
        self.applied.push(self.generation());
        ctx.log(Record::Applied {
            generation: self.generation(),
            plan: record.map(|record| record.plan.clone()),
            source: source.into(),
        });
    }
}

fn raise_alarm(ctx: &mut Context<'_>, message: String) {
    ctx.log(Record::Alarm {
        name: "config_unreadable",
        message: format!("{message}; check that all daemons run the same version"),
    });
}
