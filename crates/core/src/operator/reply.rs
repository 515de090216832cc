//! Replies to operators.

use super::{Intent, OperatorError};
use crate::{
    config::{Change, ChangeRecord, Configuration, ServiceState},
    ids::{
        FailureDomain, FencingNumber, Generation, ModelVersion, OperatorName, PlanId, UpstreamId,
        VmId,
    },
    message::Member,
    units::{KvBytes, Millis, Tokens},
};
use serde::{Deserialize, Serialize};

/// A reply to an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorReply {
    /// Reply to `Status`.
    Status(StatusReport),
    /// Reply to `Fleet`.
    Fleet(FleetReport),
    /// Reply to `ConfigShow`.
    Config(Box<Configuration>),
    /// Reply to `ConfigHistory`.
    History(Vec<ChangeRecord>),
    /// Reply to `Plan` and `PlanShow`.
    Plan(Box<Plan>),
    /// Reply to `PlanList`.
    Plans(Vec<Plan>),
    /// Reply to `Confirm`.
    Confirmed(ConfirmReport),
    /// The command was refused.
    Refused(OperatorError),
}

/// State of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// The daemon.
    pub member: Member,
    /// Whether the daemon accepts requests.
    pub ready: bool,
    /// Reasons why the daemon is not ready, and other problems.
    pub notes: Vec<String>,
    /// The configuration generation that the daemon applies.
    pub generation: Generation,
    /// Known live members, with the generation last reported by each.
    pub members: Vec<(Member, Generation)>,
    /// Whether the platform's store answered the daemon's last call.
    pub store_reachable: bool,
    /// Failure domains without a known live member.
    pub unreachable_domains: Vec<FailureDomain>,
    /// Number of open requests at the daemon.
    pub open_requests: u32,
}

/// The configured upstreams, with the load of those that the daemon owns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetReport {
    /// One entry per upstream.
    pub upstreams: Vec<UpstreamStatus>,
}

/// State of an upstream from the view of one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Administrative state.
    pub state: ServiceState,
    /// The owner, if known to the daemon.
    pub owner: Option<VmId>,
    /// The fencing number, if owned by the daemon.
    pub fencing: Option<FencingNumber>,
    /// Number of outstanding grants, if owned by the daemon.
    pub in_flight_requests: Option<u32>,
    /// Current limit on grants, if owned by the daemon.
    pub limit_requests: Option<u32>,
    /// KV memory held by grants, if owned by the daemon.
    pub kv_held_bytes: Option<KvBytes>,
    /// Loaded models, if owned by the daemon.
    pub models: Vec<ModelVersion>,
}

/// State of a plan.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// The plan can be confirmed.
    Open,
    /// The plan was confirmed.
    Confirmed,
    /// Another change was confirmed since the plan was computed.
    Superseded,
    /// The plan was not confirmed within its lifetime.
    Expired,
}

/// A plan: the change that an intent leads to, with its effects and its impact on capacity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Unique id.
    pub id: PlanId,
    /// The intent that the plan was computed from.
    pub intent: Intent,
    /// The operator who requested the plan.
    pub operator: OperatorName,
    /// The generation that the plan is based on.
    pub base_generation: Generation,
    /// The change that `confirm` puts in force.
    pub change: Change,
    /// Descriptions of the effects.
    pub effects: Vec<PlanEffect>,
    /// Capacity per failure domain and model version, before and after.
    pub capacity: Vec<DomainCapacity>,
    /// Requests in flight at upstreams that the plan takes out of service, as far as known to the
    /// daemon that computed the plan.
    #[serde(rename = "touched_requests")]
    pub affected_requests: u32,
    /// Warnings to consider before the plan is confirmed.
    pub warnings: Vec<String>,
    /// State of the plan.
    pub state: PlanState,
    /// Time of creation in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// Time of expiry in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

/// Description of an effect of a plan.
pub type PlanEffect = String;

/// Capacity of a failure domain for a model version, before and after a plan.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainCapacity {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The model version.
    pub model: ModelVersion,
    /// Number of engines before the plan.
    pub engines_before_upstreams: u32,
    /// Number of engines after the plan.
    pub engines_after_upstreams: u32,
    /// KV cache size of all engines before the plan.
    pub kv_before_tokens: Tokens,
    /// KV cache size of all engines after the plan.
    pub kv_after_tokens: Tokens,
}

/// Result of a confirmation: the members that apply the new generation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfirmReport {
    /// The plan.
    pub plan: PlanId,
    /// The generation that the plan produced.
    pub generation: Generation,
    /// Daemons that apply the generation.
    pub in_force: Vec<VmId>,
    /// Live daemons that are not known to apply the generation yet.
    pub not_reached: Vec<VmId>,
    /// Time between the store's answer and this report.
    pub waited_ms: Millis,
}
