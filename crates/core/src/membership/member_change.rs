//! Changes of membership.

use crate::message::Member;

/// A change of membership. A restart is `Died` of the old run, then `Joined` of the new one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// A daemon was heard for the first time.
    Joined(Member),
    /// A daemon announced that it leaves: it gets no new work, and its grants still live.
    Leaving(Member),
    /// A daemon's run ended: silent for too long, restarted or gone after leaving.
    Died(Member),
}
