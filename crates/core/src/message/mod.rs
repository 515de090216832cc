//! What daemons tell each other.

mod config_push;
mod grant;
mod heartbeat;
mod peer_message;

pub use config_push::ConfigMessage;
pub use grant::{
    GrantAnswer, GrantDenial, GrantMessage, GrantOffer, GrantReport, GrantRequest, HeldGrant,
};
pub use heartbeat::{
    DomainDigest, Heartbeat, Member, ModelCapacity, OwnerSummary, QuantizedSummary, RemoteMember,
};
pub use peer_message::{PeerMessage, TicketMessage, TicketUse};
