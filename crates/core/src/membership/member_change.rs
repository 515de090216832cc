//! Membership changes.

use crate::message::Member;

/// A membership change. A restart is reported as `Died` for the old run, then `Joined` for the new
/// one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// A daemon was heard from for the first time.
    Joined(Member),
    /// A daemon announced that it is leaving: it receives no new work, and its grants stay valid.
    Leaving(Member),
    /// A run of a daemon ended: the daemon was silent for too long, restarted, or left.
    Died(Member),
}
