//! Settings of a daemon's core.

use crate::{
    config::ConfigSettings, entry::EntrySettings, grant::GrantSettings,
    membership::MembershipSettings, message::Member, ownership::OwnershipSettings,
    placement::PlacementSettings, plan::PlanSettings, platform::VmRecord, routing::RoutingSettings,
};

/// What a daemon's core is made from.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// This daemon.
    pub me: Member,
    /// Daemons to ask first.
    pub seeds: Vec<VmRecord>,
    /// Seed of the generator.
    pub seed: u64,
    /// Settings of the components.
    pub components: ComponentSettings,
}

/// Settings of the components.
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
