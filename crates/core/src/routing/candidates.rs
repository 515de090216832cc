//! Selects the owners that can be asked for a grant, and ranks them by locality.

use super::{Route, RouteQuery, RoutingSettings};
use crate::{
    config::ServiceState,
    context::View,
    ids::{FailureDomain, ModelVersion, VmId},
    message::{Member, ModelCapacity},
    request::{CallTarget, Refusal, RefusalCode},
};

/// How likely an owner has a matching upstream; lower values are tried first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    /// In this daemon's failure domain, and its summary lists a matching upstream.
    Reported,
    /// In this daemon's failure domain, and no summary has been received yet.
    NoSummary,
    /// In another failure domain.
    Remote,
}

/// An owner that can be asked for a grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    /// The owner.
    pub(super) member: &'a Member,
    /// The model version to request; `None` for a plain service.
    pub(super) model: Option<&'a ModelVersion>,
    /// Its tier.
    pub(super) tier: Tier,
    /// Capacity for the model version according to the owner's last summary.
    pub(super) capacity: Option<&'a ModelCapacity>,
    /// Free request slots for the plain service according to the owner's last summary.
    pub(super) free_requests: Option<u32>,
}

impl Candidate<'_> {
    pub(super) fn route(&self, runner_up: Option<VmId>, reason: &'static str) -> Route {
        Route {
            owner: self.member.vm.clone(),
            model: self.model.cloned(),
            runner_up,
            reason,
        }
    }
}

/// The candidates of the best non-empty tier, ordered by failure domain and VM name.
pub(super) fn best_tier<'a>(candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let best = candidates.iter().map(|c| c.tier).min();
    let of_best = candidates.iter().filter(|c| Some(c.tier) == best);
    of_best.copied().collect()
}

/// All owners in serving failure domains that have not been tried yet.
///
/// # Errors
///
/// The refusal for the caller if there is no such owner.
pub(super) fn candidates<'a>(
    view: &View<'a>,
    settings: &RoutingSettings,
    query: &RouteQuery<'_>,
) -> Result<Vec<Candidate<'a>>, Refusal> {
    let mut found = Vec::new();
    let mut serving = false;
    for (domain, config) in &view.config.domains {
        if config.state != ServiceState::Serving || !serves(view, domain, query) {
            continue;
        }
        serving = true;
        if query.tried.len() >= settings.asked_count {
            continue;
        }
        let members = view.directory.live_in(domain).iter();
        let untried = members.filter(|m| !query.tried.contains(&m.vm));
        found.extend(untried.filter_map(|member| candidate(view, domain, member, query)));
    }
    if found.is_empty() {
        return Err(no_candidate_refusal(settings, query, serving));
    }
    Ok(found)
}

/// Candidates among `members` of a failure domain. Empty if the domain does not serve the request.
pub(super) fn candidates_among<'a>(
    view: &View<'a>,
    domain: &FailureDomain,
    members: impl Iterator<Item = &'a Member>,
    query: &RouteQuery<'_>,
) -> Vec<Candidate<'a>> {
    if !view.config.serves_domain(domain) || !serves(view, domain, query) {
        return Vec::new();
    }
    let untried = members.filter(|m| !query.tried.contains(&m.vm));
    untried
        .filter_map(|member| candidate(view, domain, member, query))
        .collect()
}

/// Checks that the configuration knows the workspace and the model or service of a request.
///
/// # Errors
///
/// The refusal for the caller if one of them is unknown.
pub(super) fn check_target(view: &View<'_>, query: &RouteQuery<'_>) -> Result<(), Refusal> {
    let workspace = &query.spec.workspace;
    if !view.config.workspaces.contains_key(workspace) {
        let text = format!("no workspace {workspace}: check the X-Workspace header");
        return Err(Refusal::not_run(RefusalCode::UnknownWorkspace, text));
    }
    match &query.spec.target {
        CallTarget::Service(call) if !view.config.services.contains_key(&call.service) => {
            let text = format!("no service {}: check the path", call.service);
            Err(Refusal::not_run(RefusalCode::UnknownService, text))
        }
        CallTarget::Model(call) => {
            let mut domains = view.config.domains.keys();
            let version = |domain| view.config.version_for(&call.model, workspace, domain);
            if domains.any(|domain| version(domain).is_some()) {
                return Ok(());
            }
            let text = format!(
                "no model {} for workspace {workspace}: check the name, or have it served",
                call.model
            );
            Err(Refusal::not_run(RefusalCode::UnknownModel, text))
        }
        CallTarget::Service(_) => Ok(()),
    }
}

fn version<'a>(
    view: &View<'a>,
    domain: &FailureDomain,
    query: &RouteQuery<'_>,
) -> Option<&'a ModelVersion> {
    match &query.spec.target {
        CallTarget::Model(call) => {
            let config = view.config;
            config.version_for(&call.model, &query.spec.workspace, domain)
        }
        CallTarget::Service(_) => None,
    }
}

fn serves(view: &View<'_>, domain: &FailureDomain, query: &RouteQuery<'_>) -> bool {
    matches!(query.spec.target, CallTarget::Service(_)) || version(view, domain, query).is_some()
}

fn candidate<'a>(
    view: &View<'a>,
    domain: &FailureDomain,
    member: &'a Member,
    query: &RouteQuery<'_>,
) -> Option<Candidate<'a>> {
    let model = version(view, domain, query);
    let summary = view.directory.summary_of(&member.vm);
    let capacity = summary.zip(model).and_then(|(summary, model)| {
        let found = summary.models.iter().find(|(version, _)| version == model);
        found.map(|(_, capacity)| capacity)
    });
    let free_requests = summary.and_then(|summary| match &query.spec.target {
        CallTarget::Service(call) => {
            let found = summary.services.iter().find(|(s, _)| *s == call.service);
            found.map(|(_, free)| *free)
        }
        CallTarget::Model(_) => None,
    });
    let named = capacity.is_some() || free_requests.is_some();
    if summary.is_some() && !named {
        return None;
    }
    let tier = match (*domain == view.me.domain, named) {
        (true, true) => Tier::Reported,
        (true, false) => Tier::NoSummary,
        (false, _) => Tier::Remote,
    };
    Some(Candidate {
        member,
        model,
        tier,
        capacity,
        free_requests,
    })
}

fn no_candidate_refusal(
    settings: &RoutingSettings,
    query: &RouteQuery<'_>,
    serving: bool,
) -> Refusal {
    let refusal = if !serving {
        let text = "every failure domain that serves this is drained: return one, or come back";
        Refusal::not_run(RefusalCode::NoCapacity, text)
    } else if query.tried.is_empty() {
        let text = "no daemon with a fitting upstream can be reached: check peers and models";
        Refusal::not_run(RefusalCode::Unreachable, text)
    } else {
        let text = "no capacity before the deadline: come back, or give a longer timeout";
        Refusal::not_run(RefusalCode::NoCapacity, text)
    };
    refusal.retry_after(settings.retry_after_ms)
}
