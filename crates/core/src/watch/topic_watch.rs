//! Schedules the calls that watch one topic of the store, and tracks how current the state is.
//!
//! Two facts are kept apart. An answer shows that the store can be read, whatever it says. That the known state is the
//! store's latest is shown only by an answer without rows, by all entries, or by a peer that has had one of these.

use super::{
    history::{Extension, KnownHistory},
    Batch, StoreError, StorePosition, Topic, Unchanged,
};
use crate::{
    ids::StoreEra,
    units::{Millis, Time},
};

/// Delay before the retry after a first failed call. Doubles with each further failure.
const RETRY_MS: Millis = Millis::new(100);

/// Upper bound of the retry delay, so that a recovered store is noticed within 500 ms.
const RETRY_MAX_MS: Millis = Millis::new(500);

/// Upper bound of the retry delay of a daemon that relies on peers which read the store: they notice its
/// recovery. While the store is down, its load does not grow with the number of daemons.
const RELYING_RETRY_MAX_MS: Millis = Millis::new(2_000);

/// Time without an answer after which entries may have expired unnoticed.
const OUTAGE_MIN_MS: Millis = Millis::new(2_500);

/// Age of the known state at which a follower calls the store itself, instead of relying on peers
/// that read it. A change that no peer passed on still takes effect within the required
/// 2 s.
const FOLLOWER_MAX_AGE_MS: Millis = Millis::new(1_900);

/// Delay between a peer's notice of an unknown change and the call that reads the change, so that
/// changes in quick succession are read by one call.
const CHANGE_BATCH_DELAY_MS: Millis = Millis::new(150);

/// Age of the known state at which all entries are read, if answers still have changes: one answer then shows the latest
/// state, however many changes there are and however few of them fit in an answer.
const CATCH_UP_MAX_MS: Millis = Millis::new(1_600);

/// Timing of the calls for a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchSettings {
    /// Maximum time for which the store holds a call that has no changes to return (long polling).
    pub wait_ms: Millis,
    /// Delay between an answer and the next call.
    pub pause_ms: Millis,
    /// Time beyond `wait_ms` after which a call without an answer has failed.
    pub timeout_ms: Millis,
}

/// A call to the store that reads a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchCall {
    /// The topic.
    pub topic: Topic,
    /// Return the changes since this position; `None` returns all entries.
    pub after: Option<StorePosition>,
    /// Maximum time for which the store holds the call if nothing changes.
    pub wait_ms: Millis,
    /// Time after which the call has failed.
    pub timeout_ms: Millis,
}

/// Watches one topic of the store.
#[derive(Debug)]
pub struct TopicWatch {
    topic: Topic,
    settings: WatchSettings,
    history: KnownHistory,
    /// Latest time at which the known state was shown to be the store's latest.
    fresh_at: Option<Time>,
    /// Latest time at which the store was read, here or by a peer that passed on what it read.
    answered_at: Option<Time>,
    /// Whether the last answer showed the latest state.
    is_latest: bool,
    /// Whether changes since an outage are still being read.
    is_after_outage: bool,
    /// Position of the latest change that peers reported and that is missing here.
    missed_up_to: Option<StorePosition>,
    /// Whether the next call reads all entries, although changes could be read.
    reads_all: bool,
    sent_at: Option<Time>,
    requested_wait_ms: Millis,
    due_at: Time,
    failures_count: u32,
    is_follower: bool,
    relies_on_peers: bool,
}

/// State of the connection to the store before an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReconnectStatus {
    /// No answer had arrived for so long that entries may have expired unnoticed.
    pub after_outage: bool,
    /// The calls before this answer had failed.
    pub recovered: bool,
    /// The store was restored from a copy since the answer before: it may lack what it had.
    pub restored: bool,
    /// Later changes were reported by a peer while the call was pending, so the answer has no news: neither its
    /// changes nor its entries are to be applied.
    pub overtaken: bool,
}

impl TopicWatch {
    /// Creates a watch that has not read anything yet.
    pub fn new(topic: Topic, settings: WatchSettings) -> Self {
        Self {
            topic,
            settings,
            history: KnownHistory::default(),
            fresh_at: None,
            answered_at: None,
            is_latest: false,
            is_after_outage: false,
            missed_up_to: None,
            reads_all: false,
            sent_at: None,
            requested_wait_ms: Millis::ZERO,
            due_at: Time::START,
            failures_count: 0,
            is_follower: false,
            relies_on_peers: false,
        }
    }

    /// When the next call is due; `None` while a call is pending.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.sent_at.is_none().then_some(self.due_at)
    }

    /// Returns the next call if it is due.
    pub fn poll(&mut self, now: Time) -> Option<WatchCall> {
        if self.sent_at.is_some() || now < self.due_at {
            return None;
        }
        self.sent_at = Some(now);
        let position = self.history.position().filter(|_| !self.reads_all);
        let long_poll = position.is_some() && self.failures_count == 0 && !self.is_follower;
        let wait_ms = if long_poll {
            self.hold_ms(now)
        } else {
            Millis::ZERO
        };
        self.requested_wait_ms = wait_ms;
        Some(WatchCall {
            topic: self.topic,
            after: position,
            wait_ms,
            timeout_ms: wait_ms + self.settings.timeout_ms,
        })
    }

    /// How long the store may hold the next call. The calls after changes are held for what is left of the time of
    /// the one before, so that the latest state is shown as soon as without changes.
    fn hold_ms(&self, now: Time) -> Millis {
        let wait_ms = self.settings.wait_ms;
        match self.fresh_at {
            Some(fresh_at) if !self.is_latest => wait_ms.saturating_sub(now.since(fresh_at)),
            _ => wait_ms,
        }
    }

    /// Handles an answer. If it shows the latest state, that was known when the call was sent, or at the end of the
    /// wait time, if the store held the call for so long.
    ///
    /// Returns none if the answer can't be used: it is of an era before the known one, or it has the
    /// changes since a position of another era. All entries are read again then.
    pub fn on_answer(&mut self, now: Time, batch: &Batch) -> Option<ReconnectStatus> {
        let sent_at = self.sent_at.take().unwrap_or(now);
        let era = batch.position.era;
        if self.history.has_left(era) {
            self.due_at = now + RETRY_MS;
            return None;
        }
        let restored = self.history.is_restored_at(era);
        let has_changes = !batch.changes.is_empty();
        let extension = match batch.after {
            None => self.history.on_entries(batch.position),
            Some(after) => self.history.on_changes(after, batch.position, has_changes),
        };
        let overtaken = match extension {
            Extension::Continues => false,
            Extension::Overtaken => true,
            Extension::Gap | Extension::OtherEra => {
                self.read_all(now);
                return None;
            }
        };
        self.reads_all = false;
        self.is_latest = batch.shows_latest();
        let held_until = sent_at + self.requested_wait_ms;
        let as_of = if !batch.is_snapshot() && self.is_latest && held_until <= now {
            held_until
        } else {
            sent_at
        };
        let after_outage = self.on_read(sent_at, as_of, self.is_latest);
        if self.is_latest {
            self.fresh_at = self.fresh_at.max(Some(as_of));
        }
        let recovered = std::mem::take(&mut self.failures_count) > 0;
        self.schedule(now);
        Some(ReconnectStatus {
            after_outage,
            recovered,
            restored,
            overtaken,
        })
    }

    /// Records that the store was read, as of a time. Returns whether entries may have expired unnoticed before. That
    /// holds for all changes of that time, until the latest state is shown.
    fn on_read(&mut self, sent_at: Time, as_of: Time, is_latest: bool) -> bool {
        let gap_ms = self.answered_at.map(|at| sent_at.since(at));
        self.answered_at = self.answered_at.max(Some(as_of));
        let after_outage = self.is_after_outage || may_miss_expiry(gap_ms);
        self.is_after_outage = after_outage && !is_latest;
        after_outage
    }

    /// Schedules the call after an answer: at once if there may be more changes. A follower learns from readers
    /// whether there are.
    fn schedule(&mut self, now: Time) {
        let fresh_at = self.fresh_at.unwrap_or(Time::START);
        let follower_due_at = fresh_at + FOLLOWER_MAX_AGE_MS;
        if self.is_latest {
            self.due_at = if self.is_follower {
                follower_due_at
            } else {
                now + self.settings.pause_ms
            };
            return;
        }
        let age_ms = self.fresh_at.map(|fresh_at| now.since(fresh_at));
        let max_ms = CATCH_UP_MAX_MS.max(self.settings.wait_ms + self.settings.wait_ms);
        self.reads_all = age_ms.is_none_or(|age_ms| age_ms >= max_ms);
        let is_missing = self.missed_up_to > self.history.position();
        self.due_at = if self.is_follower && !self.reads_all && !is_missing {
            follower_due_at.max(now)
        } else {
            now
        };
    }

    /// Schedules a call that reads changes which a peer has reported and which are missing here.
    fn on_missing(&mut self, now: Time, position: StorePosition) {
        self.missed_up_to = self.missed_up_to.max(Some(position));
        self.due_at = self.due_at.min(now + CHANGE_BATCH_DELAY_MS);
    }

    /// Handles news that the store is in an era: if that is newer than the known one, the history
    /// since the known position is void, and all entries are read again by `due_at`.
    pub fn on_era(&mut self, era: StoreEra, due_at: Time) {
        if self.history.on_era(era) {
            self.due_at = self.due_at.min(due_at);
        }
    }

    /// Schedules a call that reads all entries.
    fn read_all(&mut self, due_at: Time) {
        self.history.forget();
        self.due_at = due_at;
    }

    /// Handles what a peer read of the store, from position `after` to `position`. That shows that the store can be
    /// read, but the message may be late, so it doesn't show the latest state. Returns
    /// the state of the connection before them if they are to be applied: they follow the known
    /// position without a gap, and nothing after them is known. This daemon's next call is then postponed
    /// by `due_ms`. Changes after a gap show that the store can be read and that there is something to
    /// read, so the call is due soon. Changes of an older era are ignored; those of a newer one say that all
    /// entries have to be read again.
    pub fn on_peer_changes(
        &mut self,
        now: Time,
        after: StorePosition,
        position: StorePosition,
        has_changes: bool,
        due_ms: Millis,
    ) -> Option<ReconnectStatus> {
        self.on_era(position.era, now + CHANGE_BATCH_DELAY_MS);
        match self.history.on_changes(after, position, has_changes) {
            Extension::Continues => {}
            Extension::Gap => {
                self.on_missing(now, position);
                return None;
            }
            Extension::Overtaken | Extension::OtherEra => return None,
        }
        let after_outage = self.on_read(now, now, !has_changes);
        self.due_at = self.due_at.max(now + due_ms);
        Some(ReconnectStatus {
            after_outage,
            recovered: false,
            restored: false,
            overtaken: false,
        })
    }

    /// Handles changes that a reader of the store passed on, from position `after` to `position`.
    /// Returns true if they continue the known state; a call that was scheduled to read them is then
    /// not needed. They say nothing about how current the state is.
    pub fn on_passed_on(
        &mut self,
        now: Time,
        after: StorePosition,
        position: StorePosition,
    ) -> bool {
        self.on_era(position.era, now + CHANGE_BATCH_DELAY_MS);
        match self.history.on_changes(after, position, true) {
            Extension::Continues => {
                if let (true, Some(fresh_at)) = (self.is_follower, self.fresh_at) {
                    self.due_at = fresh_at + FOLLOWER_MAX_AGE_MS;
                }
                true
            }
            Extension::Gap => {
                self.on_missing(now, position);
                false
            }
            Extension::Overtaken | Extension::OtherEra => false,
        }
    }

    /// Sets whether this daemon relies on peers that read the store, and calls the store itself
    /// only if they send no confirmations.
    pub fn set_follower(&mut self, is_follower: bool) {
        if self.is_follower && !is_follower {
            self.due_at = Time::START;
        }
        self.is_follower = is_follower;
    }

    /// Sets whether peers that read the store report its changes or its recovery, so that failed calls
    /// may be retried later.
    pub fn set_relies_on_peers(&mut self, relies_on_peers: bool) {
        self.relies_on_peers = relies_on_peers;
    }

    /// Handles a peer's confirmation that a part of the store's history has no change. The peer read the store
    /// after it received the request that this daemon sent at `asked_at`, so the confirmation is equivalent to
    /// an answer of the store as of that time; `None` means that the read predates the request. If changes
    /// before that part are not known here, a call that reads them is scheduled instead. A peer that has not
    /// seen the latest restore of the store confirms nothing. Returns true if the calls before had failed.
    pub fn on_peer_confirmation(
        &mut self,
        now: Time,
        asked_at: Option<Time>,
        confirmed: Unchanged,
    ) -> bool {
        let era = confirmed.position.era;
        if self.history.has_left(era) {
            return false;
        }
        self.on_era(era, now + CHANGE_BATCH_DELAY_MS);
        if self.history.on_unchanged(confirmed) != Extension::Continues {
            self.on_missing(now, confirmed.changed);
            return false;
        }
        let Some(asked_at) = asked_at else {
            return false;
        };
        self.fresh_at = self.fresh_at.max(Some(asked_at));
        self.answered_at = self.answered_at.max(Some(asked_at));
        if !self.is_follower {
            return false;
        }
        self.due_at = self.due_at.max(asked_at + FOLLOWER_MAX_AGE_MS);
        std::mem::take(&mut self.failures_count) > 0
    }

    /// The latest part of the store's history that is known to have no change.
    pub fn unchanged(&self) -> Option<Unchanged> {
        self.history.unchanged()
    }

    /// Replaces the settings.
    pub fn update_settings(&mut self, settings: WatchSettings) {
        self.settings = settings;
    }

    /// Handles a failed call. Returns true for the first of consecutive failures.
    pub fn on_error(&mut self, now: Time, error: &StoreError) -> bool {
        self.sent_at = None;
        if *error == StoreError::HistoryGone {
            self.read_all(now);
            return false;
        }
        let doublings = self.failures_count.min(8);
        let max_ms = if self.relies_on_peers {
            RELYING_RETRY_MAX_MS
        } else {
            RETRY_MAX_MS
        };
        let pause_ms = Millis::new(RETRY_MS.get() << doublings).min(max_ms);
        self.failures_count += 1;
        self.due_at = now + pause_ms;
        self.failures_count == 1
    }

    /// Whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failures_count > 0
    }

    /// Latest time at which the store was read, here or by a peer. Whether the latest state is known, it doesn't tell.
    pub const fn answered_at(&self) -> Option<Time> {
        self.answered_at
    }

    /// Time up to which all changes that the store acknowledged are known.
    pub const fn fresh_at(&self) -> Option<Time> {
        self.fresh_at
    }

    /// The last known position of the store.
    pub const fn position(&self) -> Option<StorePosition> {
        self.history.position()
    }
}

/// Whether entries may have expired unnoticed in the time since the last contact.
fn may_miss_expiry(gap_ms: Option<Millis>) -> bool {
    gap_ms.is_some_and(|gap_ms| gap_ms >= OUTAGE_MIN_MS)
}
