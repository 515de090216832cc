//! Tickets: keys that a daemon issues and whose one use it alone decides.

use super::ClaimSettings;
use crate::{
    ids::{BodyHash, IdempotencyKey, Incarnation, RequestId, VmId},
    message::{Member, TicketUse},
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

    /// Whether this run of a daemon issued it.
    pub(super) fn is_same_run(&self, member: &Member) -> bool {
        self.vm == member.vm && self.incarnation == member.incarnation
    }
}

/// Most claims that may give one ticket back.
const RELEASED_BY_MAX_LEN: usize = 64;

/// One ticket.
#[derive(Debug, Default)]
struct Ticket {
    /// The claim that may run, and its call.
    holder_call: Option<(RequestId, BodyHash)>,
    /// Claims that gave it back: they may not have it again.
    released_by: BTreeSet<RequestId>,
}

/// The tickets that this run of the daemon issued.
#[derive(Debug)]
pub struct Tickets {
    settings: ClaimSettings,
    issued: BTreeMap<IdempotencyKey, Ticket>,
    expiries: BTreeSet<(Time, IdempotencyKey)>,
}

impl Tickets {
    /// No tickets.
    pub const fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            issued: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Issues a ticket numbered by `random`. None where too many live or its text is too long.
    pub fn issue(&mut self, now: Time, me: &Member, random: u64) -> Option<IdempotencyKey> {
        self.expire(now);
        if self.issued.len() >= self.settings.max_tickets_count as usize {
            return None;
        }
        let text = format!("{TICKET_PREFIX}{}:{}:{random:016x}", me.vm, me.incarnation);
        let key = IdempotencyKey::try_from(text).ok()?;
        if self.issued.contains_key(&key) {
            return None;
        }
        self.issued.insert(key.clone(), Ticket::default());
        self.expiries
            .insert((now + self.settings.ticket_life, key.clone()));
        Some(key)
    }

    /// Whether this claim may use the ticket, however often it asks.
    pub fn claim(
        &mut self,
        now: Time,
        key: &IdempotencyKey,
        claim: RequestId,
        body_hash: BodyHash,
    ) -> TicketUse {
        self.expire(now);
        let ticket = self.issued.get_mut(key);
        let Some(ticket) = ticket.filter(|ticket| !ticket.released_by.contains(&claim)) else {
            return TicketUse::Taken;
        };
        let (holder, body) = ticket.holder_call.get_or_insert((claim, body_hash));
        match (*holder == claim, *body == body_hash) {
            (true, _) => TicketUse::Granted,
            (false, true) => TicketUse::Taken,
            (false, false) => TicketUse::OtherBody,
        }
    }

    /// A claim has not run and never will: another one may use the ticket.
    pub fn release(&mut self, now: Time, key: &IdempotencyKey, claim: RequestId) {
        self.expire(now);
        let Some(ticket) = self.issued.get_mut(key) else {
            return;
        };
        if ticket.released_by.len() < RELEASED_BY_MAX_LEN {
            ticket.released_by.insert(claim);
            ticket.holder_call = ticket.holder_call.filter(|(holder, _)| *holder != claim);
        }
    }

    fn expire(&mut self, now: Time) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, key)) = self.expiries.pop_first() {
                self.issued.remove(&key);
            }
        }
    }
}
