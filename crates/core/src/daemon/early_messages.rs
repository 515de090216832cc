//! Messages that came before their sender's first heartbeat.

use crate::{
    ids::{Incarnation, VmId},
    message::PeerMessage,
    units::{Millis, Time},
};
use std::collections::BTreeMap;

/// A held message is dropped after this time.
const HOLD_MS: Millis = Millis::new(1_000);

/// Most held messages a sender.
const HELD_LEN: usize = 64;

/// Most senders with held messages.
const SENDERS_LEN: usize = 256;

/// Holds messages of senders that are not known as members yet.
#[derive(Debug, Default)]
pub(super) struct Strangers {
    held: BTreeMap<VmId, Vec<(Time, Incarnation, PeerMessage)>>,
}

impl Strangers {
    /// Keeps a message until its sender is known.
    pub(super) fn hold(
        &mut self,
        now: Time,
        from: VmId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) {
        if self.held.len() >= SENDERS_LEN && !self.held.contains_key(&from) {
            return;
        }
        let messages = self.held.entry(from).or_default();
        if messages.len() < HELD_LEN {
            messages.push((now, incarnation, message));
        }
    }

    /// The messages held for a sender.
    pub(super) fn take(&mut self, from: &VmId) -> Vec<(Incarnation, PeerMessage)> {
        let held = self.held.remove(from).unwrap_or_default();
        held.into_iter()
            .map(|(_, incarnation, message)| (incarnation, message))
            .collect()
    }

    /// Drops what was held too long.
    pub(super) fn expire(&mut self, now: Time) {
        self.held.retain(|_, messages| {
            messages.retain(|(since, _, _)| now.since(*since) < HOLD_MS);
            !messages.is_empty()
        });
    }
}
