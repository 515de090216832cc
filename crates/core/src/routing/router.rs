//! The interface between request handling and routing policies.

use crate::{
    context::{Context, View},
    ids::{ModelVersion, UpstreamId, VmId},
    message::{GrantAnswer, GrantReport},
    request::{Refusal, RequestSpec},
    units::Millis,
};
use std::fmt;

/// Input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The request.
    pub spec: &'a RequestSpec,
    /// Owners that already denied this request, in the order they were asked.
    pub tried: &'a [VmId],
    /// Owner suggested by the last denial, preferred if it is a valid candidate.
    pub suggested_owner: Option<&'a VmId>,
    /// Time left until the deadline.
    pub remaining_ms: Millis,
}

/// The owner to ask next.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The owner.
    pub owner: VmId,
    /// The model version to request; `None` for a plain service.
    pub model: Option<ModelVersion>,
    /// The second-best owner, if the policy ranks them.
    pub runner_up: Option<VmId>,
    /// Reason for the choice, for the log.
    pub reason: &'static str,
}

/// A routing policy of an entry daemon.
pub trait Router: fmt::Debug + Send {
    /// Chooses the owner to ask, or refuses the request if there is none.
    ///
    /// # Errors
    ///
    /// The refusal for the caller: unknown model, workspace or service, no reachable owner, or no
    /// capacity. The last two say when to retry.
    fn route(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        query: &RouteQuery<'_>,
    ) -> Result<Route, Refusal>;

    /// Updates the policy's state from an owner's answer.
    fn on_answer(&mut self, ctx: &mut Context<'_>, owner: &VmId, answer: &GrantAnswer);

    /// Updates the policy's state after an attempt ended.
    fn on_end(&mut self, owner: &VmId, upstream: &UpstreamId, end: &GrantReport);
}
