//! Tickets: keys that a daemon issues and whose one use it alone decides.

use super::ClaimSettings;
use crate::{
    ids::{IdempotencyKey, Incarnation, RequestId, VmId},
    message::Member,
    units::Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// What tickets start with.
const TICKET_PREFIX: &str = "ticket:";

/// The daemon's run that issued a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Issuer {
    /// Its VM.
    pub(super) vm: VmId,
    /// Its run.
    pub(super) incarnation: Incarnation,
}

impl Issuer {
    /// The issuer that a key names, if it is a ticket.
    pub(super) fn of(key: &IdempotencyKey) -> Option<Self> {
        let named = key.as_str().strip_prefix(TICKET_PREFIX)?;
        let mut parts = named.rsplitn(3, ':').skip(1);
        let incarnation = parts.next()?.parse().ok()?;
        let vm = parts.next()?.parse().ok()?;
        Some(Self { vm, incarnation })
    }
}

/// The tickets that this run of the daemon issued.
#[derive(Debug)]
pub struct Tickets {
    settings: ClaimSettings,
    uses: BTreeMap<IdempotencyKey, Option<RequestId>>,
    expiries: BTreeSet<(Time, IdempotencyKey)>,
}

impl Tickets {
    /// No tickets.
    pub const fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            uses: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Issues a ticket numbered by `random`. None where too many live or its text is too long.
    pub fn issue(&mut self, now: Time, me: &Member, random: u64) -> Option<IdempotencyKey> {
        self.expire(now);
        if self.uses.len() >= self.settings.max_tickets_count as usize {
            return None;
        }
        let text = format!("{TICKET_PREFIX}{}:{}:{random:016x}", me.vm, me.incarnation);
        let key = IdempotencyKey::try_from(text).ok()?;
        if self.uses.contains_key(&key) {
            return None;
        }
        self.uses.insert(key.clone(), None);
        self.expiries
            .insert((now + self.settings.ticket_life, key.clone()));
        Some(key)
    }

    /// Whether this request may use the ticket: true for one request alone, however often it asks.
    pub fn claim(&mut self, now: Time, key: &IdempotencyKey, request: RequestId) -> bool {
        self.expire(now);
        match self.uses.get_mut(key) {
            Some(used) => *used.get_or_insert(request) == request,
            None => false,
        }
    }

    fn expire(&mut self, now: Time) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, key)) = self.expiries.pop_first() {
                self.uses.remove(&key);
            }
        }
    }
}
