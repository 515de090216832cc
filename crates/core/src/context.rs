//! What every part of the core is handed with an event.

use crate::{
    action::Action,
    config::Configuration,
    decision::Record,
    directory::Directory,
    ids::VmId,
    message::{Member, PeerMessage},
    platform::{CallToken, Component},
    units::Time,
};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// The time, a seeded generator and the list of actions that the event brings about.
#[derive(Debug)]
pub struct Context<'a> {
    /// The time of the event.
    pub now: Time,
    /// The daemon's seeded generator.
    pub rng: &'a mut ChaCha8Rng,
    /// Actions so far.
    pub actions: &'a mut Vec<Action>,
    /// Number of the last call token.
    pub last_token: &'a mut u64,
}

impl Context<'_> {
    /// Adds an action.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a log record.
    pub fn log(&mut self, record: Record) {
        self.act(Action::Log(Box::new(record)));
    }

    /// A fresh token for a call whose answer goes back to `component`.
    pub fn token(&mut self, component: Component) -> CallToken {
        *self.last_token += 1;
        CallToken::new(component, *self.last_token)
    }
}

/// What every part may read of the others.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// This daemon.
    pub me: &'a Member,
    /// The configuration in force.
    pub config: &'a Arc<Configuration>,
    /// The members and owners known.
    pub directory: &'a dyn Directory,
}

impl View<'_> {
    /// Sends a message to a live member, this daemon and leaving ones included. False where it is
    /// not known.
    pub fn send(&self, ctx: &mut Context<'_>, to: &VmId, message: PeerMessage) -> bool {
        let known = if *to == self.me.vm {
            Some(self.me)
        } else {
            self.directory.peer(to)
        };
        let Some(member) = known else { return false };
        ctx.act(Action::SendPeer {
            to: to.clone(),
            address: member.peer_address,
            message,
        });
        true
    }
}
