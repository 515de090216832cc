//! Arguments that every component of the core receives with an event.

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

/// The time, a seeded random number generator and the actions that the event causes.
#[derive(Debug)]
pub struct Context<'a> {
    /// The time of the event.
    pub now: Time,
    /// The daemon's seeded random number generator.
    pub rng: &'a mut ChaCha8Rng,
    /// Actions that the event has caused so far.
    pub actions: &'a mut Vec<Action>,
    /// Number of the last call token that was issued.
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

    /// Issues a token for a call whose answer is routed to `component`.
    pub fn token(&mut self, component: Component) -> CallToken {
        *self.last_token += 1;
        CallToken::new(component, *self.last_token)
    }
}

/// State of other components that every component can read.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// This daemon.
    pub me: &'a Member,
    /// The configuration in force.
    pub config: &'a Arc<Configuration>,
    /// The known members and owners.
    pub directory: &'a dyn Directory,
}

impl View<'_> {
    /// Sends a message to a live member, including this daemon and members that are leaving.
    /// Returns false if the member is not known.
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
