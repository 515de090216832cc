//! Membership and failure detection: heartbeats, incarnations and announced leaving.

mod domain_digest;
mod gossip_ring;
mod heartbeat_targets;
mod local_state;
mod member_change;
#[allow(clippy::module_inception)]
mod membership;
mod peer;
mod queries;
mod settings;
mod summary_codec;

pub use local_state::LocalState;
pub use member_change::MemberChange;
pub use membership::Membership;
pub use settings::{MembershipSettings, RawMembershipSettings};
