//! The border between requests and routing policies.

use crate::{
    context::{Context, View},
    ids::{ModelVersion, UpstreamId, VmId},
    message::{GrantAnswer, GrantReport},
    request::{Refusal, RequestSpec},
    units::Millis,
};
use std::fmt;

/// What a router is asked.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The request.
    pub spec: &'a RequestSpec,
    /// Owners already asked in vain, in order.
    pub tried: &'a [VmId],
    /// Owner named by the last denial, to be asked next where sensible.
    pub better: Option<&'a VmId>,
    /// Time left until the deadline.
    pub remaining_ms: Millis,
}

/// The owner to ask next.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The owner.
    pub owner: VmId,
    /// The model version to ask for, for a model call.
    pub model: Option<ModelVersion>,
    /// The second best owner.
    pub runner_up: Option<VmId>,
    /// Why this one, for the log.
    pub reason: &'static str,
}

/// A routing policy of an entry daemon.
pub trait Router: fmt::Debug + Send {
    /// Chooses the owner to ask, or refuses where none is left to ask.
    ///
    /// # Errors
    ///
    /// The refusal for the caller: unknown model, workspace or service, nothing reachable, or no
    /// capacity with the time to come back.
    fn route(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal>;

    /// Learns from an owner's answer.
    fn on_answer(&mut self, ctx: &mut Context<'_>, owner: &VmId, answer: &GrantAnswer);

    /// Learns from a finished attempt.
    fn on_end(&mut self, owner: &VmId, upstream: &UpstreamId, end: &GrantReport);
}
