//! Handles messages from other daemons.

use super::core::Daemon;
use crate::{
    context::Context,
    ids::{Incarnation, VmId},
    message::{GrantMessage, Heartbeat, Member, PeerMessage},
};

impl Daemon {
    pub(super) fn on_peer(
        &mut self,
        ctx: &mut Context<'_>,
        from: VmId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) {
        if let PeerMessage::Heartbeat(heartbeat) = message {
            return self.on_heartbeat(ctx, from, *heartbeat);
        }
        self.cluster
            .peers
            .membership
            .on_traffic(ctx.now, &from, incarnation);
        let member = self
            .cluster
            .peers
            .membership
            .sender(&from, incarnation)
            .cloned();
        match member {
            Some(member) => self.on_message(ctx, &member, message),
            None => self
                .early_messages
                .hold(ctx.now, from, incarnation, message),
        }
    }

    pub(super) fn on_heartbeat(&mut self, ctx: &mut Context<'_>, from: VmId, heartbeat: Heartbeat) {
        if heartbeat.member.vm != from {
            return;
        }
        let (member, generation) = (heartbeat.member.clone(), heartbeat.generation);
        self.cluster
            .peers
            .membership
            .on_heartbeat(ctx, heartbeat, &self.local);
        self.cluster
            .with_config(|config, view| config.on_peer_generation(ctx, view, &member, generation));
        for (incarnation, message) in self.early_messages.take(&from) {
            if incarnation == member.incarnation {
                self.on_message(ctx, &member, message);
            }
        }
    }

    pub(super) fn on_message(
        &mut self,
        ctx: &mut Context<'_>,
        from: &Member,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Heartbeat(_) => {}
            PeerMessage::Grant(message) => self.on_grant(ctx, from, message),
            PeerMessage::Config(message) => {
                self.cluster
                    .with_config(|config, view| config.on_message(ctx, view, from, message));
            }
            PeerMessage::Ticket(message) => {
                self.entry
                    .on_ticket(ctx, &self.cluster.view(), from, message);
            }
        }
    }

    pub(super) fn on_grant(&mut self, ctx: &mut Context<'_>, from: &Member, message: GrantMessage) {
        if let GrantMessage::Held { grants, fencing } = &message {
            for grant in grants {
                self.cluster
                    .peers
                    .ownership
                    .on_fencing_seen(&grant.upstream, *fencing);
            }
        }
        let view = self.cluster.view();
        match message {
            GrantMessage::Answer { .. }
            | GrantMessage::Collect { .. }
            | GrantMessage::Revoke { .. } => self.entry.on_message(ctx, &view, from, message),
            GrantMessage::Held { .. }
            | GrantMessage::Release { .. }
            | GrantMessage::Request(_)
            | GrantMessage::Withdraw { .. } => self.owner.on_message(ctx, &view, from, message),
        }
    }
}
