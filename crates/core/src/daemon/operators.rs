//! Answers to operators from a daemon's own state.

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
    /// Answers a command that only reads.
    pub(super) fn report(&self, ctx: &mut Context<'_>, call: CallToken, command: &OperatorCommand) {
        let config = self.known.config.current();
        let reply = match command {
            OperatorCommand::Fleet => OperatorReply::Fleet(self.fleet()),
            OperatorCommand::ConfigShow => OperatorReply::Config(Box::new((**config).clone())),
            OperatorCommand::ConfigHistory => {
                OperatorReply::History(self.known.config.history().to_vec())
            }
            _ => OperatorReply::Status(self.status()),
        };
        ctx.act(Action::OperatorReply {
            call,
            reply: Box::new(reply),
        });
    }

    /// Passes a command about plans on.
    pub(super) fn plan(
        &mut self,
        ctx: &mut Context<'_>,
        call: CallToken,
        operator: OperatorName,
        command: OperatorCommand,
        unix_ms: u64,
    ) {
        let owned = self.known.peers.ownership.owned();
        let in_flight = owned
            .filter_map(|upstream| {
                let status = self.owner.status(upstream)?;
                Some((upstream.clone(), status.in_flight_requests))
            })
            .collect();
        let inputs = PlanInputs {
            in_flight,
            members: self.known.peers.membership.members(),
        };
        let view = self.known.view();
        self.planner
            .on_command(ctx, &view, &inputs, call, operator, command, unix_ms);
    }

    /// How this daemon sees itself and its peers.
    pub fn status(&self) -> StatusReport {
        let (ready, notes) = self.readiness.clone().unwrap_or_default();
        StatusReport {
            member: self.known.me.clone(),
            ready,
            notes,
            generation: self.known.config.current().generation,
            members: self.known.peers.membership.members(),
            store_reachable: self.known.config.store_reachable(),
            unreachable_domains: self.known.peers.membership.unreachable_domains(),
            open_requests: self.entry.open_requests(),
        }
    }

    fn fleet(&self) -> FleetReport {
        let config = self.known.config.current();
        let statuses = config
            .upstreams
            .iter()
            .map(|(id, upstream)| self.upstream(id, upstream));
        FleetReport {
            upstreams: statuses.collect(),
        }
    }

    fn upstream(&self, id: &UpstreamId, config: &UpstreamConfig) -> UpstreamStatus {
        let owned = self.owner.status(id);
        UpstreamStatus {
            upstream: id.clone(),
            domain: config.domain.clone(),
            state: config.state,
            owner: self.known.peers.ownership.owner_of(id).cloned(),
            fencing: self.known.peers.ownership.fencing_of(id),
            in_flight_requests: owned.as_ref().map(|status| status.in_flight_requests),
            limit_requests: owned.as_ref().map(|status| status.limit_requests),
            kv_held_bytes: owned.as_ref().map(|status| status.kv_held_bytes),
            models: owned.map_or_else(Vec::new, |status| status.models),
        }
    }
}
