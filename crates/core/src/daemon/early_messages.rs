//! Messages that arrive before the first heartbeat of their sender.

use crate::{
    ids::{Incarnation, VmId},
    message::PeerMessage,
    units::{Millis, Time},
};
use std::collections::BTreeMap;

/// Time after which a held message is dropped.
const MAX_HOLD_MS: Millis = Millis::new(1_000);

/// Maximum number of held messages per sender.
const MAX_MESSAGES_LEN: usize = 64;

/// Maximum number of senders with held messages.
const MAX_SENDERS_LEN: usize = 256;

/// Holds messages from senders that are not known as members yet.
#[derive(Debug, Default)]
pub(super) struct EarlyMessages {
    held: BTreeMap<VmId, Vec<(Time, Incarnation, PeerMessage)>>,
}

impl EarlyMessages {
    /// Holds a message until its sender becomes a member. Messages beyond the limits are dropped.
    pub(super) fn hold(
        &mut self,
        now: Time,
        from: VmId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) {
        if self.held.len() >= MAX_SENDERS_LEN && !self.held.contains_key(&from) {
            return;
        }
        let messages = self.held.entry(from).or_default();
        if messages.len() < MAX_MESSAGES_LEN {
            messages.push((now, incarnation, message));
        }
    }

    /// Removes and returns the messages held for a sender.
    pub(super) fn take(&mut self, from: &VmId) -> Vec<(Incarnation, PeerMessage)> {
        let held = self.held.remove(from).unwrap_or_default();
        held.into_iter()
            .map(|(_, incarnation, message)| (incarnation, message))
            .collect()
    }

    /// Drops messages that were held for too long.
    pub(super) fn expire(&mut self, now: Time) {
        self.held.retain(|_, messages| {
            messages.retain(|(since, _, _)| now.since(*since) < MAX_HOLD_MS);
            !messages.is_empty()
        });
    }
}
