//! Answers to operators.

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

/// An answer to an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorReply {
    /// To `Status`.
    Status(StatusReport),
    /// To `Fleet`.
    Fleet(FleetReport),
    /// To `ConfigShow`.
    Config(Box<Configuration>),
    /// To `ConfigHistory`.
    History(Vec<ChangeRecord>),
    /// To `Plan` and `PlanShow`.
    Plan(Box<Plan>),
    /// To `PlanList`.
    Plans(Vec<Plan>),
    /// To `Confirm`.
    Confirmed(ConfirmReport),
    /// A refusal.
    Refused(OperatorError),
}

/// State of one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// The daemon.
    pub member: Member,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why not, and what else is wrong.
    pub notes: Vec<String>,
    /// The generation in force here.
    pub generation: Generation,
    /// Members known, with the generation last heard from each.
    pub members: Vec<(Member, Generation)>,
    /// Whether the platform's store answers.
    pub store_reachable: bool,
    /// Failure domains that can't be reached.
    pub unreachable_domains: Vec<FailureDomain>,
    /// Requests open here.
    pub open_requests: u32,
}

/// Upstreams that one daemon knows, with the load of those it owns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetReport {
    /// One entry an upstream.
    pub upstreams: Vec<UpstreamStatus>,
}

/// An upstream as one daemon sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether operators let it serve.
    pub state: ServiceState,
    /// Its owner, as far as known.
    pub owner: Option<VmId>,
    /// The owner's fencing number.
    pub fencing: Option<FencingNumber>,
    /// Grants out, if owned here.
    pub in_flight_requests: Option<u32>,
    /// Most grants now, if owned here.
    pub limit_requests: Option<u32>,
    /// KV memory held by grants, if owned here.
    pub kv_held_bytes: Option<KvBytes>,
    /// Models loaded, if owned here.
    pub models: Vec<ModelVersion>,
}

/// State of a plan.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// It waits for `confirm`.
    Open,
    /// It is in force.
    Confirmed,
    /// Another change came first.
    Superseded,
    /// It was not confirmed in time.
    Expired,
}

/// A plan: what an intent would change and what that costs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Its id.
    pub id: PlanId,
    /// The intent that it answers.
    pub intent: Intent,
    /// Who asked.
    pub operator: OperatorName,
    /// The generation it was computed against.
    pub base_generation: Generation,
    /// The change that `confirm` makes.
    pub change: Change,
    /// What changes, in words.
    pub effects: Vec<PlanEffect>,
    /// Capacity before and after.
    pub capacity: Vec<DomainCapacity>,
    /// Requests in flight at what leaves, as far as known.
    #[serde(rename = "touched_requests")]
    pub affected_requests: u32,
    /// What to think about before confirming.
    pub warnings: Vec<String>,
    /// Its state.
    pub state: PlanState,
    /// When it was made, milliseconds since the epoch.
    pub created_unix_ms: u64,
    /// When it expires, milliseconds since the epoch.
    pub expires_unix_ms: u64,
}

/// One effect of a plan, in words.
pub type PlanEffect = String;

/// Capacity of one failure domain for one model version, before and after a plan.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainCapacity {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The model version.
    pub model: ModelVersion,
    /// Engines before.
    pub engines_before_upstreams: u32,
    /// Engines after.
    pub engines_after_upstreams: u32,
    /// KV tokens before, over all engines.
    pub kv_before_tokens: Tokens,
    /// KV tokens after.
    pub kv_after_tokens: Tokens,
}

/// Where a confirmed plan is in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfirmReport {
    /// The plan.
    pub plan: PlanId,
    /// The generation it made.
    pub generation: Generation,
    /// Daemons where it is in force.
    pub in_force: Vec<VmId>,
    /// Live daemons not known to apply it yet.
    pub not_reached: Vec<VmId>,
    /// Time from the store's answer to this report.
    pub waited_ms: Millis,
}
