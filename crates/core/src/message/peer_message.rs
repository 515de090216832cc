//! The envelope of all messages between daemons, and ticket messages.

use super::{ConfigMessage, GrantMessage, Heartbeat};
use crate::ids::{BodyHash, IdempotencyKey, RequestId};
use serde::{Deserialize, Serialize};

/// A message between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Membership heartbeats.
    Heartbeat(Box<Heartbeat>),
    /// Grants, between an entry daemon and an owner.
    Grant(GrantMessage),
    /// Configuration.
    Config(ConfigMessage),
    /// Tickets, between an entry daemon and the ticket's issuer.
    Ticket(TicketMessage),
}

/// A message between an entry daemon and the issuer of a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketMessage {
    /// Asks the issuer whether this claim may use the ticket.
    Claim {
        /// The ticket.
        key: IdempotencyKey,
        /// Random id of the claim.
        claim: RequestId,
        /// Hash of the call, to detect another call under the same ticket.
        body_hash: BodyHash,
    },
    /// The issuer's answer.
    Answer {
        /// The ticket.
        key: IdempotencyKey,
        /// Random id of the claim.
        claim: RequestId,
        /// The issuer's decision.
        ticket_use: TicketUse,
    },
    /// Releases the ticket: the claim's call did not run and never will, so another claim may use
    /// the ticket.
    GiveBack {
        /// The ticket.
        key: IdempotencyKey,
        /// Random id of the claim.
        claim: RequestId,
    },
}

/// Decision of a ticket's issuer about a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketUse {
    /// The claim may use the ticket. Granted to one claim at a time, until that claim releases the
    /// ticket.
    Granted,
    /// Another claim uses or used the ticket, or the issuer does not know the ticket.
    Taken,
    /// The ticket was used with another call before.
    OtherBody,
}
