//! Log records of the core's decisions.

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
    /// A request ended with its whole answer.
    Completed {
        /// The request.
        request: RequestId,
        /// Attempts it took.
        attempts: AttemptNumber,
        /// Age of the request.
        age_ms: Millis,
    },
    /// An attempt failed and what follows.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The upstream.
        upstream: UpstreamId,
        /// How it failed.
        error: String,
        /// What follows.
        next: String,
    },
    /// Ownership of an upstream changed here.
    Ownership {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether this daemon owns it now.
        owned: bool,
        /// The fencing number.
        fencing: FencingNumber,
        /// Why.
        reason: String,
    },
    /// A generation came in force here.
    Applied {
        /// The generation.
        generation: Generation,
        /// The plan behind it.
        plan: Option<PlanId>,
        /// Where it came from.
        source: String,
    },
    /// A model is placed on or removed from an engine.
    Placement {
        /// The engine.
        upstream: UpstreamId,
        /// The model version.
        model: ModelVersion,
        /// What is done.
        what: String,
        /// Why.
        reason: String,
    },
    /// A member joined, left or died.
    Membership {
        /// Its VM.
        vm: VmId,
        /// Its failure domain.
        domain: FailureDomain,
        /// What happened.
        what: String,
    },
    /// Something an operator must look at.
    Alarm {
        /// Short name: docs/OPERATIONS.md lists them.
        name: &'static str,
        /// What was seen, with the remedy.
        message: String,
    },
    /// Anything else worth a line.
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
    /// Class of the prompt's length.
    pub class: LengthClass,
    /// The chosen upstream.
    pub upstream: UpstreamId,
    /// The second best.
    pub runner_up: Option<UpstreamId>,
    /// The owner that granted it.
    pub owner: VmId,
    /// Why this one.
    pub reason: String,
    /// Predicted time to first token.
    pub predicted_ms: Millis,
}
