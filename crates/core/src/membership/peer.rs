//! The state kept about a peer.

use super::MembershipSettings;
use crate::{
    ids::Generation,
    message::{CapacitySummary, Member, QuantizedSummary},
    units::Time,
};

/// Number of heartbeats that relay a peer's new generation.
const GENERATION_RELAYS_COUNT: u32 = 3;

/// The state kept about one run of a peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) generation: Generation,
    /// Number of heartbeats that still relay the peer's generation.
    pub(super) generation_relays_left_count: u32,
    pub(super) summary: Option<CapacitySummary>,
    /// The encoded summary as received, with the index of the dissemination that delivered it.
    pub(super) coded_summary: Option<(u64, QuantizedSummary)>,
    /// Hash of the peer's member list, as of its last digest.
    pub(super) list_id: Option<u32>,
    pub(super) leaving: bool,
    pub(super) alive: bool,
    /// Time of the last sign of life, received here or reported by another member.
    pub(super) last_heard: Option<Time>,
    /// Time of the last heartbeat sent to the peer.
    pub(super) last_sent: Option<Time>,
    /// Time at which the peer was marked as dead.
    pub(super) died_at: Option<Time>,
}

impl Peer {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            generation: Generation::default(),
            generation_relays_left_count: 0,
            summary: None,
            coded_summary: None,
            list_id: None,
            leaving: false,
            alive: true,
            last_heard: None,
            last_sent: None,
            died_at: None,
        }
    }

    /// Records that the peer applies `generation`. Returns whether this advances its generation.
    pub(super) fn update_generation(&mut self, generation: Generation) -> bool {
        let advanced = generation > self.generation;
        if advanced {
            self.generation = generation;
            self.generation_relays_left_count = GENERATION_RELAYS_COUNT;
        }
        advanced
    }

    /// Returns the time at which the peer counts as dead unless it is heard again. Silence before
    /// `since` does not count.
    pub(super) fn expires_at(
        &self,
        settings: &MembershipSettings,
        fast_detection: bool,
        since: Time,
    ) -> Time {
        let span = match fast_detection {
            true => settings.failure_timeout(),
            false => settings.relayed_timeout(),
        };
        self.last_heard.unwrap_or(Time::START).max(since) + span
    }
}
