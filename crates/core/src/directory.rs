//! The interface through which routing reads membership and ownership.

use crate::{
    ids::{FailureDomain, Incarnation, UpstreamId, VmId},
    message::{CapacitySummary, Member},
};

/// The known daemons, and the owners of upstreams.
pub trait Directory {
    /// A member that is considered alive and is not leaving. Includes this daemon.
    fn member(&self, vm: &VmId) -> Option<&Member>;

    /// A member that is considered alive. Includes this daemon, and members that are leaving,
    /// because their open requests still need answers.
    fn peer(&self, vm: &VmId) -> Option<&Member> {
        self.member(vm)
    }

    /// Whether this incarnation of a daemon is considered alive, even if it is leaving.
    fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool;

    /// The known live members of a failure domain, ordered by name.
    fn live_in(&self, domain: &FailureDomain) -> &[Member];

    /// The owner of an upstream in this daemon's failure domain, or in a domain that it adopted.
    fn owner_of(&self, upstream: &UpstreamId) -> Option<&VmId>;

    /// The last summary received from an owner.
    fn summary_of(&self, vm: &VmId) -> Option<&CapacitySummary>;
}
