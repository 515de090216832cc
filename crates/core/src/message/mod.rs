//! Messages between daemons.

mod config_push;
mod grant;
mod heartbeat;
mod peer_message;

pub use config_push::ConfigMessage;
pub use grant::{
    GrantAnswer, GrantDenial, GrantMessage, GrantOffer, GrantReport, GrantRequest, HeldGrant,
};
pub use heartbeat::{
    CapacitySummary, DomainDigest, Heartbeat, Member, ModelCapacity, QuantizedSummary, RemoteMember,
};
pub use peer_message::{PeerMessage, TicketMessage, TicketUse};
