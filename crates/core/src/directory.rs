//! The border between membership and ownership on one side and routing on the other.

use crate::{
    ids::{FailureDomain, Incarnation, UpstreamId, VmId},
    message::{CapacitySummary, Member},
};

/// What is known of the daemons and of who owns which upstream.
pub trait Directory {
    /// A member that is thought alive and not leaving, this daemon included.
    fn member(&self, vm: &VmId) -> Option<&Member>;

    /// A member that is thought alive, this daemon included; a leaving one counts, since its open
    /// requests still need answers.
    fn peer(&self, vm: &VmId) -> Option<&Member> {
        self.member(vm)
    }

    /// Whether this run of a daemon is thought alive; a leaving one counts.
    fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool;

    /// The live members known in a failure domain, in the order of their names.
    fn live_in(&self, domain: &FailureDomain) -> &[Member];

    /// The owner of an upstream of this daemon's own failure domain, or of one it adopted.
    fn owner_of(&self, upstream: &UpstreamId) -> Option<&VmId>;

    /// The last summary heard from an owner.
    fn summary_of(&self, vm: &VmId) -> Option<&CapacitySummary>;
}
