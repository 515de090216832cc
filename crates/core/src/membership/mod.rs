//! Who is alive: heartbeats, incarnations and announced leaving.

mod local_state;
mod member_change;
#[allow(clippy::module_inception)]
mod membership;
mod news;
mod peer;
mod queries;
mod settings;

pub use local_state::LocalState;
pub use member_change::MemberChange;
pub use membership::Membership;
pub use settings::{MembershipSettings, RawMembershipSettings};
