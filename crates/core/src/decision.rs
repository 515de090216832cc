//! Log records of decisions.

use crate::{
    ids::{
        AttemptNumber, FailureDomain, FencingNumber, Generation, ModelVersion, PlanId, RequestId,
        UpstreamId, VmId, WorkspaceId,
    },
    request::{LengthClass, Refusal},
    units::{Millis, Tokens},
};
use serde::Serialize;
use std::collections::BTreeMap;

/// One log record.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Record {
    /// A request was routed to an upstream.
    Routed(Routed),
    /// A request was refused.
    Refused {
        /// The request.
        request: RequestId,
        /// The workspace.
        workspace: WorkspaceId,
        /// The refusal.
        refusal: Refusal,
        /// Age of the request.
        age_ms: Millis,
    },
    /// A request ended with its complete answer.
    Completed {
        /// The request.
        request: RequestId,
        /// Number of attempts.
        attempts: AttemptNumber,
        /// Age of the request.
        age_ms: Millis,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The upstream.
        upstream: UpstreamId,
        /// The error.
        error: String,
        /// The next step, such as a retry.
        next: String,
    },
    /// This daemon gained or lost the ownership of an upstream.
    Ownership {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether this daemon owns it now.
        owned: bool,
        /// The fencing number.
        fencing: FencingNumber,
        /// Reason.
        reason: String,
    },
    /// A generation of the configuration took effect on this daemon.
    Applied {
        /// The generation.
        generation: Generation,
        /// The plan that created it, if any.
        plan: Option<PlanId>,
        /// Source of the generation.
        source: String,
    },
    /// A model is loaded on or unloaded from an engine.
    Placement {
        /// The engine.
        upstream: UpstreamId,
        /// The model version.
        model: ModelVersion,
        /// The operation.
        what: String,
        /// Reason.
        reason: String,
    },
    /// A member joined, left or failed.
    Membership {
        /// Its VM.
        vm: VmId,
        /// Its failure domain.
        domain: FailureDomain,
        /// The event.
        what: String,
    },
    /// A condition that needs an operator's attention.
    Alarm {
        /// Short name, listed in docs/OPERATIONS.md.
        name: &'static str,
        /// The observation and the remedy.
        message: String,
    },
    /// Any other information.
    Note {
        /// Short name.
        name: &'static str,
        /// Details.
        fields: BTreeMap<&'static str, String>,
    },
}

/// A routing decision.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Routed {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The model version, for a model call.
    pub model: Option<ModelVersion>,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Length class of the prompt.
    pub class: LengthClass,
    /// The chosen upstream.
    pub upstream: UpstreamId,
    /// The second-best upstream.
    pub runner_up: Option<UpstreamId>,
    /// The owner that granted it.
    pub owner: VmId,
    /// Reason for the choice.
    pub reason: String,
    /// Predicted time to first token.
    pub predicted_ms: Millis,
}
