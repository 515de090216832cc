//! What is known of one other daemon.

use super::MembershipSettings;
use crate::{
    ids::Generation,
    message::{Member, OwnerSummary, QuantizedSummary},
    units::Time,
};

/// Heartbeats that tell of a new generation.
const NEWS_REPEATS_COUNT: u32 = 3;

/// What is known of one other daemon's run.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) generation: Generation,
    /// Heartbeats that are still to tell of its generation.
    pub(super) news_count: u32,
    pub(super) summary: Option<OwnerSummary>,
    /// Its summary as heard, with the spread that brought it.
    pub(super) coded: Option<(u64, QuantizedSummary)>,
    /// Its list of the failure domain's members when last heard.
    pub(super) list_id: Option<u32>,
    pub(super) leaving: bool,
    pub(super) alive: bool,
    /// Its last sign of life, seen here or by another member.
    pub(super) heard: Option<Time>,
    /// When it was last sent a heartbeat.
    pub(super) sent: Option<Time>,
    /// When it was found dead.
    pub(super) died: Option<Time>,
}

impl Peer {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            generation: Generation::default(),
            news_count: 0,
            summary: None,
            coded: None,
            list_id: None,
            leaving: false,
            alive: true,
            heard: None,
            sent: None,
            died: None,
        }
    }

    /// It applies a generation. True where that is news.
    pub(super) fn applies(&mut self, generation: Generation) -> bool {
        let news = generation > self.generation;
        if news {
            self.generation = generation;
            self.news_count = NEWS_REPEATS_COUNT;
        }
        news
    }

    /// When its silence amounts to death, if nothing was heard here before `since`.
    pub(super) fn expires(&self, settings: &MembershipSettings, near: bool, since: Time) -> Time {
        let span = match near {
            true => settings.death(),
            false => settings.relay(),
        };
        self.heard.unwrap_or(Time::START).max(since) + span
    }
}
