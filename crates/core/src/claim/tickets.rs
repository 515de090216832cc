//! Tickets: single-use keys issued by a daemon. The issuing daemon decides in memory which claim
//! may use a ticket, so tickets work without the store.

use super::ClaimSettings;
use crate::{
    ids::{BodyHash, IdempotencyKey, Incarnation, RequestId, VmId},
    message::{Member, TicketUse},
    units::Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of all tickets.
const TICKET_PREFIX: &str = "ticket:";

/// The daemon incarnation that issued a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Issuer {
    /// VM of the daemon.
    pub(super) vm: VmId,
    /// Incarnation of the daemon.
    pub(super) incarnation: Incarnation,
}

impl Issuer {
    /// Parses the issuer from a key. None if the key is not a ticket.
    pub(super) fn of(key: &IdempotencyKey) -> Option<Self> {
        let named = key.as_str().strip_prefix(TICKET_PREFIX)?;
        let mut parts = named.rsplitn(3, ':').skip(1);
        let incarnation = parts.next()?.parse().ok()?;
        let vm = parts.next()?.parse().ok()?;
        Some(Self { vm, incarnation })
    }

    /// Whether the issuer is this incarnation of this daemon.
    pub(super) fn is_same_run(&self, member: &Member) -> bool {
        self.vm == member.vm && self.incarnation == member.incarnation
    }
}

/// Maximum number of claims that may release one ticket.
const RELEASED_BY_MAX_LEN: usize = 64;

/// An issued ticket.
#[derive(Debug, Default)]
struct Ticket {
    /// The claim that holds the ticket, and the hash of its call.
    holder_call: Option<(RequestId, BodyHash)>,
    /// Claims that released the ticket. They may not get it again, so that a delayed request of
    /// such a claim has no effect.
    released_by: BTreeSet<RequestId>,
}

/// The unexpired tickets issued by this daemon incarnation.
#[derive(Debug)]
pub struct Tickets {
    settings: ClaimSettings,
    issued: BTreeMap<IdempotencyKey, Ticket>,
    expiries: BTreeSet<(Time, IdempotencyKey)>,
}

impl Tickets {
    /// An empty set of tickets.
    pub const fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            issued: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Issues a ticket with the given random number. None if too many tickets are outstanding, the
    /// ticket's text is too long, or the number is already in use.
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

    /// Decides whether a claim may use a ticket. Idempotent by claim.
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

    /// Releases a ticket from a claim whose call did not run and never will, so that another claim
    /// may use it.
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
