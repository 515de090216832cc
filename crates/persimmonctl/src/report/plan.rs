//! Formats plans and their confirmation as text.

use persimmon_core::{
    config::{Change, ServiceState},
    operator::{ConfirmReport, Plan, PlanState},
};
use std::fmt::{Display, Write};

/// Formats a plan with its effects, capacity changes and warnings.
pub(super) fn plan(plan: &Plan) -> String {
    let mut text = line(plan);
    push_lines(&mut text, "changes", &plan.effects);
    for row in &plan.capacity {
        let _ = writeln!(
            text,
            "  capacity {} {}: {} -> {} engines, {} -> {} KV tokens",
            row.domain,
            row.model,
            row.engines_before_upstreams,
            row.engines_after_upstreams,
            row.kv_before_tokens,
            row.kv_after_tokens,
        );
    }
    let _ = writeln!(
        text,
        "  touches {} requests in flight",
        plan.affected_requests
    );
    push_lines(&mut text, "warning", &plan.warnings);
    if plan.state == PlanState::Open {
        let _ = writeln!(
            text,
            "nothing changed yet: persimmonctl confirm {}",
            plan.id
        );
    }
    text
}

/// Formats a plan as one line.
pub(super) fn line(plan: &Plan) -> String {
    format!(
        "plan {} ({}) by {} against generation {}: {}\n",
        plan.id,
        state_name(plan.state),
        plan.operator,
        plan.base_generation,
        change(&plan.change),
    )
}

/// Formats the outcome of `confirm`.
pub(super) fn confirmed(report: &ConfirmReport) -> String {
    let mut text = format!(
        "plan {} is generation {}, in force at {} daemons after {}\n",
        report.plan,
        report.generation,
        report.in_force.len(),
        report.waited_ms,
    );
    if !report.not_reached.is_empty() {
        let _ = writeln!(text, "not reached: {}", list(&report.not_reached));
    }
    text
}

/// Describes a change.
pub(super) fn change(change: &Change) -> String {
    match change {
        Change::Replace(config) => {
            format!("replace all: {} upstreams", config.upstreams.len())
        }
        Change::SetDomainState { domain, state } => {
            format!("{} failure domain {domain}", state_verb(*state))
        }
        Change::SetUpstreamState { upstream, state } => {
            format!("{} upstream {upstream}", state_verb(*state))
        }
        Change::Serve(rule) => format!(
            "serve {} for {} in {}",
            rule.model,
            list_or_all(rule.workspaces.iter()),
            list_or_all(rule.domains.iter()),
        ),
        Change::SetAdapters { model, adapters } => {
            let names: Vec<_> = adapters.iter().map(ToString::to_string).collect();
            format!("set adapters of {model} to [{}]", names.join(", "))
        }
        Change::SetWorkspaceWeight {
            workspace,
            weight_count,
        } => {
            format!("set weight of workspace {workspace} to {weight_count}")
        }
    }
}

fn state_verb(state: ServiceState) -> &'static str {
    match state {
        ServiceState::Serving => "return",
        ServiceState::Drained => "drain",
    }
}

fn state_name(state: PlanState) -> &'static str {
    match state {
        PlanState::Open => "open",
        PlanState::Confirmed => "confirmed",
        PlanState::Superseded => "superseded",
        PlanState::Expired => "expired",
    }
}

fn push_lines(text: &mut String, name: &str, lines: &[String]) {
    for line in lines {
        let _ = writeln!(text, "  {name}: {line}");
    }
}

fn list_or_all<T: Display>(items: impl ExactSizeIterator<Item = T>) -> String {
    match items.len() {
        0 => "all".to_owned(),
        _ => list(items),
    }
}

/// Joins items with commas.
pub(super) fn list<T: Display>(items: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    texts.join(", ")
}
