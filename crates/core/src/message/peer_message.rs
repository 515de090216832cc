//! All messages between daemons.

use super::{ConfigMessage, GrantMessage, Heartbeat};
use crate::ids::{BodyHash, IdempotencyKey, RequestId};
use serde::{Deserialize, Serialize};

/// A message between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Membership.
    Heartbeat(Box<Heartbeat>),
    /// Grants, between an entry daemon and an owner.
    Grant(GrantMessage),
    /// Configuration.
    Config(ConfigMessage),
    /// Tickets, between an entry daemon and the ticket's issuer.
    Ticket(TicketMessage),
}

/// Asks the issuer of a ticket for its one use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketMessage {
    /// May this claim use the ticket?
    Claim {
        /// The ticket.
        key: IdempotencyKey,
        /// The claim's own random id.
        claim: RequestId,
        /// The call, to tell another one under the same ticket.
        body_hash: BodyHash,
    },
    /// The answer.
    Answer {
        /// The ticket.
        key: IdempotencyKey,
        /// The claim.
        claim: RequestId,
        /// What the issuer decided.
        ticket_use: TicketUse,
    },
    /// The claim has not run and never will: another one may use the ticket.
    GiveBack {
        /// The ticket.
        key: IdempotencyKey,
        /// The claim.
        claim: RequestId,
    },
}

/// What the issuer of a ticket decided about a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketUse {
    /// It may run: said to one claim at a time, until that one gives the ticket back.
    Granted,
    /// Another claim uses or used the ticket, or it is not known here.
    Taken,
    /// The ticket came with another call before.
    OtherBody,
}
