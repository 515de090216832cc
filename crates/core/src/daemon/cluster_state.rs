//! A daemon's view of the cluster: configuration, members and owners.

use crate::{
    config::ConfigStore,
    context::{Context, View},
    directory::Directory,
    ids::{FailureDomain, Incarnation, UpstreamId, VmId},
    membership::Membership,
    message::{CapacitySummary, Member},
    ownership::Ownership,
};

/// Membership, ownership and configuration, which all other components read.
#[derive(Debug)]
pub(super) struct ClusterState {
    pub(super) me: Member,
    pub(super) peers: PeerDirectory,
    pub(super) config: ConfigStore,
}

/// The known daemons and the upstreams that they own.
#[derive(Debug)]
pub(super) struct PeerDirectory {
    pub(super) membership: Membership,
    pub(super) ownership: Ownership,
}

impl ClusterState {
    pub(super) fn view(&self) -> View<'_> {
        View {
            me: &self.me,
            config: self.config.current(),
            directory: &self.peers,
        }
    }

    pub(super) fn refresh_ownership(&mut self, ctx: &mut Context<'_>) {
        self.peers
            .ownership
            .refresh(ctx, &self.peers.membership, self.config.current());
    }

    /// Calls `update` with mutable access to the configuration store and a view of the rest.
    pub(super) fn with_config(&mut self, update: impl FnOnce(&mut ConfigStore, &View<'_>)) {
        let current = self.config.current().clone();
        let view = View {
            me: &self.me,
            config: &current,
            directory: &self.peers,
        };
        update(&mut self.config, &view);
    }
}

impl Directory for PeerDirectory {
    fn member(&self, vm: &VmId) -> Option<&Member> {
        self.membership.member(vm)
    }

    fn peer(&self, vm: &VmId) -> Option<&Member> {
        self.membership.peer(vm)
    }

    fn is_alive(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.membership.is_alive(vm, incarnation)
    }

    fn live_in(&self, domain: &FailureDomain) -> &[Member] {
        self.membership.live_in(domain)
    }

    fn owner_of(&self, upstream: &UpstreamId) -> Option<&VmId> {
        self.ownership.owner_of(upstream)
    }

    fn summary_of(&self, vm: &VmId) -> Option<&CapacitySummary> {
        self.membership.summary_of(vm)
    }
}
