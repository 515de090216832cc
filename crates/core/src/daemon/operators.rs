//! Handles operators' commands.

use super::core::Daemon;
use crate::{
    action::Action,
    config::UpstreamConfig,
    context::Context,
    ids::{OperatorName, UpstreamId},
    operator::{FleetReport, OperatorCommand, OperatorReply, StatusReport, UpstreamStatus},
    plan::PlanInputs,
    platform::CallToken,
};

impl Daemon {
    /// Replies to a command that only reads the daemon's state.
    pub(super) fn reply_from_state(
        &self,
        ctx: &mut Context<'_>,
        call: CallToken,
        command: &OperatorCommand,
    ) {
        let config = self.cluster.config.current();
        let reply = match command {
            OperatorCommand::Fleet => OperatorReply::Fleet(self.fleet_report()),
            OperatorCommand::ConfigShow => OperatorReply::Config(Box::new((**config).clone())),
            OperatorCommand::ConfigHistory => {
                OperatorReply::History(self.cluster.config.history().to_vec())
            }
            _ => OperatorReply::Status(self.status()),
        };
        ctx.act(Action::OperatorReply {
            call,
            reply: Box::new(reply),
        });
    }

    /// Passes a command about plans to the planner.
    pub(super) fn on_plan_command(
        &mut self,
        ctx: &mut Context<'_>,
        call: CallToken,
        operator: OperatorName,
        command: OperatorCommand,
        unix_ms: u64,
    ) {
        let owned = self.cluster.peers.ownership.owned();
        let in_flight = owned
            .filter_map(|upstream| {
                let status = self.owner.status(upstream)?;
                Some((upstream.clone(), status.in_flight_requests))
            })
            .collect();
        let inputs = PlanInputs {
            in_flight,
            members: self.cluster.peers.membership.members(),
        };
        let view = self.cluster.view();
        self.planner
            .on_command(ctx, &view, &inputs, call, operator, command, unix_ms);
    }

    /// Returns the state of this daemon and its view of the members.
    pub fn status(&self) -> StatusReport {
        let (ready, notes) = self.readiness.clone().unwrap_or_default();
        StatusReport {
            member: self.cluster.me.clone(),
            ready,
            notes,
            generation: self.cluster.config.current().generation,
            members: self.cluster.peers.membership.members(),
            store_reachable: self.cluster.config.store_reachable(),
            unreachable_domains: self.cluster.peers.membership.unreachable_domains(),
            open_requests: self.entry.open_requests(),
        }
    }

    fn fleet_report(&self) -> FleetReport {
        let config = self.cluster.config.current();
        let statuses = config
            .upstreams
            .iter()
            .map(|(id, upstream)| self.upstream_status(id, upstream));
        FleetReport {
            upstreams: statuses.collect(),
        }
    }

    fn upstream_status(&self, id: &UpstreamId, config: &UpstreamConfig) -> UpstreamStatus {
        let owned = self.owner.status(id);
        UpstreamStatus {
            upstream: id.clone(),
            domain: config.domain.clone(),
            state: config.state,
            owner: self.cluster.peers.ownership.owner_of(id).cloned(),
            fencing: self.cluster.peers.ownership.fencing_of(id),
            in_flight_requests: owned.as_ref().map(|status| status.in_flight_requests),
            limit_requests: owned.as_ref().map(|status| status.limit_requests),
            kv_held_bytes: owned.as_ref().map(|status| status.kv_held_bytes),
            models: owned.map_or_else(Vec::new, |status| status.models),
        }
    }
}
