//! Who is alive: heartbeats, incarnations and announced leaving.

mod coded_summary;
mod digest;
mod local_state;
mod member_change;
#[allow(clippy::module_inception)]
mod membership;
mod peer;
mod queries;
mod roster;
mod settings;
mod targets;

pub use local_state::LocalState;
pub use member_change::MemberChange;
pub use membership::Membership;
pub use settings::{MembershipSettings, RawMembershipSettings};
