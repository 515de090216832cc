//! Follows one topic of the store.

use super::{Batch, StoreError, Topic};
use crate::{
    ids::StoreVersion,
    units::{Millis, Time},
};

/// First pause after a call that failed. Doubles with each further one.
const RETRY_MS: Millis = Millis::new(100);

/// Longest pause after calls that failed: a store that is back is noticed within half a second.
const RETRY_MAX_MS: Millis = Millis::new(500);

/// Time without contact after which entries may have lapsed unseen.
const OUTAGE_MS: Millis = Millis::new(2_500);

/// Age of knowledge at which a daemon that follows a reader asks the store itself: a change that the
/// reader did not tell is then still in force within the two seconds that users allow.
const LISTEN_MS: Millis = Millis::new(1_900);

/// Time from a reader's word about a change to the call that reads it: changes that come in quick
/// succession are read together.
const GATHER_MS: Millis = Millis::new(150);

/// How a topic is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchSettings {
    /// How long the store may hold a call until something changes.
    pub wait_ms: Millis,
    /// Time from an answer to the next call.
    pub pause_ms: Millis,
    /// A call without an answer has failed after this time beyond `wait_ms`.
    pub timeout_ms: Millis,
}

/// A call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchCall {
    /// The topic.
    pub topic: Topic,
    /// Changes since this version; absent for all entries.
    pub after: Option<StoreVersion>,
    /// How long the store may hold the call.
    pub wait_ms: Millis,
    /// When it counts as failed.
    pub timeout_ms: Millis,
}

/// Follows one topic of the store.
#[derive(Debug)]
pub struct TopicWatch {
    topic: Topic,
    settings: WatchSettings,
    position: Option<StoreVersion>,
    fresh_at: Option<Time>,
    sent_at: Option<Time>,
    asked_wait_ms: Millis,
    due_at: Time,
    failures_count: u32,
    is_follower: bool,
    changed_at: StoreVersion,
}

/// What an answer means for those who keep the topic's entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReconnectStatus {
    /// The store could not be followed for so long that entries may have lapsed unseen.
    pub after_outage: bool,
    /// The store was lost before this answer.
    pub recovered: bool,
}

impl TopicWatch {
    /// A watch that has read nothing yet.
    pub const fn new(topic: Topic, settings: WatchSettings) -> Self {
        Self {
            topic,
            settings,
            position: None,
            fresh_at: None,
            sent_at: None,
            asked_wait_ms: Millis::ZERO,
            due_at: Time::START,
            failures_count: 0,
            is_follower: false,
            changed_at: StoreVersion::new(0),
        }
    }

    /// When the next call is due; absent while one is under way.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.sent_at.is_none().then_some(self.due_at)
    }

    /// The next call, where it is due.
    pub fn poll(&mut self, now: Time) -> Option<WatchCall> {
        if self.sent_at.is_some() || now < self.due_at {
            return None;
        }
        self.sent_at = Some(now);
        let follows = self.position.is_some() && self.failures_count == 0 && !self.is_follower;
        let wait_ms = if follows {
            self.settings.wait_ms
        } else {
            Millis::ZERO
        };
        self.asked_wait_ms = wait_ms;
        Some(WatchCall {
            topic: self.topic,
            after: self.position,
            wait_ms,
            timeout_ms: wait_ms + self.settings.timeout_ms,
        })
    }

    /// An answer came. What it says was true when the call was sent, or later: the store holds a call
    /// without changes until its time is over.
    pub fn on_answer(&mut self, now: Time, batch: &Batch) -> ReconnectStatus {
        let sent_at = self.sent_at.take().unwrap_or(now);
        let silence_ms = self.fresh_at.map(|fresh_at| sent_at.since(fresh_at));
        let recovered = self.failures_count > 0;
        let held = !batch.is_snapshot && batch.changes.is_empty();
        let answered_at = sent_at + self.asked_wait_ms;
        if batch.is_snapshot || !batch.changes.is_empty() {
            self.changed_at = batch.version;
        }
        self.position = self.position.max(Some(batch.version));
        let fresh_at = if held && answered_at <= now {
            answered_at
        } else {
            sent_at
        };
        self.fresh_at = self.fresh_at.max(Some(fresh_at));
        self.failures_count = 0;
        self.due_at = if self.is_follower {
            fresh_at + LISTEN_MS
        } else {
            now + self.settings.pause_ms
        };
        ReconnectStatus {
            after_outage: silence_ms.is_some_and(|ms| ms >= OUTAGE_MS),
            recovered,
        }
    }

    /// A peer told of an answer it had. True where its changes make the knowledge here whole. The
    /// next call of this daemon waits until `due_ms` later.
    pub fn on_peer_changes(
        &mut self,
        now: Time,
        after: StoreVersion,
        version: StoreVersion,
        due_ms: Millis,
    ) -> bool {
        let whole = self.position.is_some_and(|position| position >= after);
        if whole {
            self.position = self.position.max(Some(version));
            self.fresh_at = Some(now);
            self.due_at = self.due_at.max(now + due_ms);
        }
        whole
    }

    /// Whether this daemon follows peers that read the store, and asks it only where they are silent.
    pub fn set_follower(&mut self, is_follower: bool) {
        if self.is_follower && !is_follower {
            self.due_at = Time::START;
        }
        self.is_follower = is_follower;
    }

    /// A peer had contact with the store after it heard of this daemon at `asked_at`. It saw no
    /// change after `changed` up to `version`. The peer's word is as good as an answer of the store,
    /// unless there is a change that is not known here: that one is read. True where the store was
    /// lost before.
    pub fn on_peer_confirmation(
        &mut self,
        now: Time,
        asked_at: Option<Time>,
        changed: StoreVersion,
        version: StoreVersion,
    ) -> bool {
        if self.position.is_none_or(|position| position < changed) {
            self.due_at = self.due_at.min(now + GATHER_MS);
            return false;
        }
        self.position = self.position.max(Some(version));
        let Some(asked_at) = asked_at else {
            return false;
        };
        self.fresh_at = self.fresh_at.max(Some(asked_at));
        if !self.is_follower {
            return false;
        }
        self.due_at = self.due_at.max(asked_at + LISTEN_MS);
        std::mem::take(&mut self.failures_count) > 0
    }

    /// Version of the store up to which the last change was seen.
    pub const fn changed_at(&self) -> StoreVersion {
        self.changed_at
    }

    /// Takes new settings over.
    pub fn update_settings(&mut self, settings: WatchSettings) {
        self.settings = settings;
    }

    /// A call failed. True where it is the first in a row.
    pub fn on_error(&mut self, now: Time, error: &StoreError) -> bool {
        self.sent_at = None;
        if *error == StoreError::HistoryGone {
            self.position = None;
            self.due_at = now;
            return false;
        }
        let doublings = self.failures_count.min(8);
        let pause_ms = Millis::new(RETRY_MS.get() << doublings).min(RETRY_MAX_MS);
        self.failures_count += 1;
        self.due_at = now + pause_ms;
        self.failures_count == 1
    }

    /// Whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failures_count > 0
    }

    /// Time up to which what is known here is sure to be all that was acknowledged.
    pub const fn fresh_at(&self) -> Option<Time> {
        self.fresh_at
    }

    /// Version of the store that is known.
    pub const fn position(&self) -> Option<StoreVersion> {
        self.position
    }
}
