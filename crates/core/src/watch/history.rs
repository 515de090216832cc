//! What is known of the history of one topic of the store.
//!
//! Two statements are kept, and each method keeps both true: every change up to `position` is known here, and
//! there is no change after `changed_at` up to `position`. Answers and messages arrive in any order, so each is
//! taken for what it says of a part of the history, never for the latest state. Both positions only advance,
//! except when all entries have to be read again.

use super::StorePosition;
use crate::ids::StoreEra;

/// States that a topic has no change after position `changed` up to `position`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unchanged {
    /// A position at or after the last change.
    pub changed: StorePosition,
    /// The position up to which there is no further change.
    pub position: StorePosition,
}

/// What news of the store mean for the known history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Extension {
    /// They continue what is known: the entries or changes are to be applied.
    Continues,
    /// They are known already, and newer ones as well.
    Overtaken,
    /// Changes between what is known and these are missing.
    Gap,
    /// They are of another era of the store than what is known.
    OtherEra,
}

/// The known history of a topic.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownHistory {
    /// The era of the last entries or changes that were read.
    read_era: Option<StoreEra>,
    /// The latest era that the store is known to be in.
    latest_era: Option<StoreEra>,
    /// Position up to which every change is known. None if all entries have to be read.
    position: Option<StorePosition>,
    changed_at: StorePosition,
}

impl KnownHistory {
    /// Position up to which every change is known.
    pub(super) const fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// The latest part of the history that is known to have no change.
    pub(super) fn unchanged(&self) -> Option<Unchanged> {
        Some(Unchanged {
            changed: self.changed_at,
            position: self.position?,
        })
    }

    /// Whether the store was restored since the entries or changes were read.
    pub(super) fn is_restored_at(&self, era: StoreEra) -> bool {
        self.read_era.is_some_and(|known| known < era)
    }

    /// Whether the store has left this era.
    pub(super) fn has_left(&self, era: StoreEra) -> bool {
        self.latest_era.is_some_and(|latest| era < latest)
    }

    /// Forgets the position: all entries have to be read again.
    pub(super) fn forget(&mut self) {
        self.position = None;
    }

    /// Records that the store is in an era. Returns whether that voids what is known.
    pub(super) fn on_era(&mut self, era: StoreEra) -> bool {
        self.latest_era = self.latest_era.max(Some(era));
        let voids = self.is_restored_at(era);
        if voids {
            self.forget();
        }
        voids
    }

    /// Handles all entries as of a position.
    pub(super) fn on_entries(&mut self, position: StorePosition) -> Extension {
        if self.has_left(position.era) {
            return Extension::OtherEra;
        }
        if self.position.is_some_and(|known| position < known) {
            return Extension::Overtaken;
        }
        self.advance(position, true);
        Extension::Continues
    }

    /// Handles all changes after one position up to another.
    pub(super) fn on_changes(
        &mut self,
        after: StorePosition,
        position: StorePosition,
        has_changes: bool,
    ) -> Extension {
        let known = self.position.filter(|known| known.era == position.era);
        let Some(known) = known.filter(|_| after.era == position.era) else {
            return Extension::OtherEra;
        };
        if position < known {
            Extension::Overtaken
        } else if known < after {
            Extension::Gap
        } else {
            // Changes up to the known position say nothing of those after it.
            self.advance(position, has_changes && known < position);
            Extension::Continues
        }
    }

    /// Handles a statement that there were no changes.
    pub(super) fn on_unchanged(&mut self, stated: Unchanged) -> Extension {
        match self.on_changes(stated.changed, stated.position, false) {
            // Everything up to the stated position is known, which is all that was stated.
            Extension::Overtaken if self.position >= Some(stated.changed) => Extension::Continues,
            extension => extension,
        }
    }

    fn advance(&mut self, position: StorePosition, is_changed: bool) {
        self.read_era = Some(position.era);
        self.latest_era = self.latest_era.max(Some(position.era));
        self.position = Some(position);
        if is_changed {
            self.changed_at = position;
        }
    }
}
