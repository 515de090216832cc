//! Computes a plan from an intent: the change, its effects and its impact on capacity.

use super::{PlanInputs, PlanSettings};
use crate::{
    config::{Change, Configuration, ServiceState, UpstreamKind},
    ids::{FailureDomain, ModelVersion, OperatorName, PlanId, UpstreamId},
    operator::{DomainCapacity, Intent, OperatorError, Plan, PlanState},
    units::Tokens,
};
use std::collections::BTreeSet;

/// The inputs of a plan.
pub(super) struct Draft<'a> {
    pub(super) id: PlanId,
    pub(super) intent: Intent,
    pub(super) operator: OperatorName,
    pub(super) base: &'a Configuration,
    pub(super) inputs: &'a PlanInputs,
    pub(super) force: bool,
    pub(super) unix_ms: u64,
}

impl Draft<'_> {
    /// Computes the plan.
    ///
    /// # Errors
    ///
    /// Fails if the change does not apply to the base configuration, or causes warnings and `force`
    /// is not set.
    pub(super) fn plan(self, settings: &PlanSettings) -> Result<Plan, OperatorError> {
        let change = change_of(&self.intent);
        let base = self.base;
        let next = change.apply(base, base.generation.next());
        let next = next.map_err(|error| OperatorError::Intent {
            reason: error.to_string(),
        })?;
        let capacity = all_capacities(base, &next);
        let warnings = warnings(base, &next, &capacity);
        if !warnings.is_empty() && !self.force {
            let reason = warnings.join("; ");
            return Err(OperatorError::NeedsForce { reason });
        }
        Ok(Plan {
            id: self.id,
            effects: effects(base, &next, &self.intent),
            intent: self.intent,
            operator: self.operator,
            base_generation: base.generation,
            change,
            capacity,
            affected_requests: count_affected_requests(base, &next, self.inputs),
            warnings,
            state: PlanState::Open,
            created_unix_ms: self.unix_ms,
            expires_unix_ms: self.unix_ms + settings.lifetime().get(),
        })
    }
}

fn change_of(intent: &Intent) -> Change {
    let domain = |domain: &FailureDomain, state| Change::SetDomainState {
        domain: domain.clone(),
        state,
    };
    let upstream = |upstream: &UpstreamId, state| Change::SetUpstreamState {
        upstream: upstream.clone(),
        state,
    };
    match intent {
        Intent::DrainDomain(id) => domain(id, ServiceState::Drained),
        Intent::ReturnDomain(id) => domain(id, ServiceState::Serving),
        Intent::DrainUpstream(id) => upstream(id, ServiceState::Drained),
        Intent::ReturnUpstream(id) => upstream(id, ServiceState::Serving),
        Intent::Serve(rule) => Change::Serve(rule.clone()),
        Intent::SetAdapters { model, adapters } => Change::SetAdapters {
            model: model.clone(),
            adapters: adapters.clone(),
        },
        Intent::SetWeight {
            workspace,
            weight_count,
        } => Change::SetWorkspaceWeight {
            workspace: workspace.clone(),
            weight_count: *weight_count,
        },
        Intent::Replace(whole) => Change::Replace(whole.clone()),
    }
}

/// Returns the number of engines that serve a model version in a failure domain, and the KV tokens
/// that fit on them.
fn capacity(config: &Configuration, domain: &FailureDomain, model: &ModelVersion) -> (u32, Tokens) {
    let Some(model_config) = config.models.get(model) else {
        return (0, Tokens::ZERO);
    };
    if !config.versions_in(domain).contains(model) {
        return (0, Tokens::ZERO);
    }
    let per_token_bytes = model_config.kv_bytes_per_token.get().max(1);
    let in_domain = config
        .upstreams
        .iter()
        .filter(|(id, upstream)| upstream.domain == *domain && config.serves_upstream(id));
    let engines = in_domain.filter_map(|(_, upstream)| match &upstream.kind {
        UpstreamKind::Engine(engine) => Some(engine.kv_bytes.get() / per_token_bytes),
        UpstreamKind::Service(_) => None,
    });
    engines.fold((0, Tokens::ZERO), |(count, sum), tokens| {
        (count + 1, sum + Tokens::new(tokens))
    })
}

fn all_capacities(base: &Configuration, next: &Configuration) -> Vec<DomainCapacity> {
    let domains: BTreeSet<_> = base.domains.keys().chain(next.domains.keys()).collect();
    let models: BTreeSet<_> = base.models.keys().chain(next.models.keys()).collect();
    let mut all = Vec::new();
    for domain in domains {
        for model in &models {
            let (engines_before, kv_before) = capacity(base, domain, model);
            let (engines_after, kv_after) = capacity(next, domain, model);
            if engines_before + engines_after > 0 {
                all.push(DomainCapacity {
                    domain: domain.clone(),
                    model: (*model).clone(),
                    engines_before_upstreams: engines_before,
                    engines_after_upstreams: engines_after,
                    kv_before_tokens: kv_before,
                    kv_after_tokens: kv_after,
                });
            }
        }
    }
    all
}

/// Returns a warning for each model and service that would lose its last upstream.
fn warnings(
    base: &Configuration,
    next: &Configuration,
    capacity: &[DomainCapacity],
) -> Vec<String> {
    let mut warnings = Vec::new();
    let models: BTreeSet<_> = capacity.iter().map(|entry| &entry.model).collect();
    for model in models {
        let of_model = || capacity.iter().filter(|entry| entry.model == *model);
        let before: u32 = of_model().map(|entry| entry.engines_before_upstreams).sum();
        let after: u32 = of_model().map(|entry| entry.engines_after_upstreams).sum();
        if before > 0 && after == 0 {
            warnings.push(format!("{model} loses its last engine ({before} before)"));
        }
    }
    for service in base.services.keys() {
        let before = count_servers(base, service.as_str());
        if before > 0 && count_servers(next, service.as_str()) == 0 {
            warnings.push(format!(
                "service {service} loses its last server ({before} before)"
            ));
        }
    }
    warnings
}

fn count_servers(config: &Configuration, service: &str) -> usize {
    let serving = config.upstreams.iter().filter(|(id, upstream)| {
        let of_service =
            matches!(&upstream.kind, UpstreamKind::Service(s) if s.as_str() == service);
        of_service && config.serves_upstream(id)
    });
    serving.count()
}

fn effects(base: &Configuration, next: &Configuration, intent: &Intent) -> Vec<String> {
    let ids: BTreeSet<_> = base.upstreams.keys().chain(next.upstreams.keys()).collect();
    let mut effects = Vec::new();
    for id in ids {
        match (base.serves_upstream(id), next.serves_upstream(id)) {
            (true, false) => effects.push(format!("{id} gets no new work")),
            (false, true) => effects.push(format!("{id} gets work")),
            _ => {}
        }
    }
    match intent {
        Intent::Serve(rule) => effects.push(format!("{} is placed and served", rule.model)),
        Intent::SetAdapters { model, adapters } => {
            let before = base
                .models
                .get(model)
                .map(|model_config| &model_config.adapters);
            let added = adapters
                .iter()
                .filter(|a| !before.is_some_and(|b| b.contains(*a)));
            effects.extend(added.map(|adapter| format!("{model}: adapter {adapter} is loaded")));
            let gone = before
                .into_iter()
                .flatten()
                .filter(|a| !adapters.contains(*a));
            effects.extend(gone.map(|adapter| format!("{model}: adapter {adapter} is not kept")));
        }
        Intent::SetWeight {
            workspace,
            weight_count,
        } => {
            let before = base.workspaces.get(workspace).map_or(0, |w| w.weight_count);
            effects.push(format!(
                "workspace {workspace}: weight {before} to {weight_count}"
            ));
        }
        _ => {}
    }
    effects
}

fn count_affected_requests(base: &Configuration, next: &Configuration, inputs: &PlanInputs) -> u32 {
    let leaving = inputs
        .in_flight
        .iter()
        .filter(|(id, _)| base.serves_upstream(id) && !next.serves_upstream(id));
    leaving.map(|(_, requests)| requests).sum()
}
