//! Who is alive: heartbeats, incarnations and announced leaving.

mod member_change;

pub use member_change::MemberChange;
