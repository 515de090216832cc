//! All messages between daemons.

use super::{ConfigMessage, GrantMessage, Heartbeat};
use crate::ids::{IdempotencyKey, RequestId};
use serde::{Deserialize, Serialize};

/// A message between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Membership.
    Heartbeat(Heartbeat),
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
    /// May this request use the ticket?
    Claim {
        /// The ticket.
        key: IdempotencyKey,
        /// The request.
        request: RequestId,
    },
    /// The answer: true at most once over the ticket's life.
    Answer {
        /// The ticket.
        key: IdempotencyKey,
        /// The request.
        request: RequestId,
        /// Whether this request may run.
        granted: bool,
    },
}
