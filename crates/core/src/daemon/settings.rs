//! Settings of a daemon's core.

use crate::{
    config::ConfigSettings, entry::EntrySettings, grant::GrantSettings,
    membership::MembershipSettings, message::Member, ownership::OwnershipSettings,
    placement::PlacementSettings, plan::PlanSettings, platform::VmRecord, routing::RoutingSettings,
};

/// Parameters of a daemon's core.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Identity of this daemon.
    pub me: Member,
    /// Daemons to contact first.
    pub seeds: Vec<VmRecord>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Settings of the components.
    pub components: ComponentSettings,
}

/// Settings of the components of a daemon.
#[derive(Clone, Debug, Default)]
pub struct ComponentSettings {
    /// Configuration.
    pub config: ConfigSettings,
    /// Requests and their claims.
    pub entry: EntrySettings,
    /// Grants.
    pub grant: GrantSettings,
    /// Membership.
    pub membership: MembershipSettings,
    /// Ownership.
    pub ownership: OwnershipSettings,
    /// Placement of models.
    pub placement: PlacementSettings,
    /// Plans.
    pub plan: PlanSettings,
    /// Routing.
    pub routing: RoutingSettings,
}
