//! What is known of one other daemon.

use super::MembershipSettings;
use crate::{
    ids::Generation,
    message::{Member, OwnerSummary},
    units::Time,
};

/// What is known of one other daemon's run.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) generation: Generation,
    pub(super) summary: Option<OwnerSummary>,
    pub(super) leaving: bool,
    pub(super) alive: bool,
    /// When it was last heard directly.
    pub(super) heard: Option<Time>,
    /// When another member last said that it lives.
    pub(super) relayed: Option<Time>,
    /// When it was found dead.
    pub(super) died: Option<Time>,
}

impl Peer {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            generation: Generation::default(),
            summary: None,
            leaving: false,
            alive: true,
            heard: None,
            relayed: None,
            died: None,
        }
    }

    /// When its silence amounts to death. For a near one only its own voice counts.
    pub(super) fn expires(&self, settings: &MembershipSettings, near: bool) -> Time {
        let direct = self.heard.map(|heard| heard + settings.death());
        if let Some(direct) = direct.filter(|_| near) {
            return direct;
        }
        let relayed = self.relayed.map(|relayed| relayed + settings.relay());
        direct.max(relayed).unwrap_or(Time::START)
    }

    /// Whether this daemon itself heard it within the time of death.
    pub(super) fn is_direct(&self, now: Time, settings: &MembershipSettings) -> bool {
        self.heard
            .is_some_and(|heard| heard + settings.death() > now)
    }
}
