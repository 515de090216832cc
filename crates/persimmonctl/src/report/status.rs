//! Formats a daemon's state and the upstreams as text.

use super::plan::list;
use persimmon_core::{
    config::ServiceState,
    operator::{FleetReport, StatusReport, UpstreamStatus},
};
use std::fmt::{Display, Write};

/// Formats a daemon's state.
pub(super) fn status(report: &StatusReport) -> String {
    let ready = if report.ready { "ready" } else { "not ready" };
    let store = if report.store_reachable {
        "reachable"
    } else {
        "unreachable"
    };
    let mut text = format!(
        "{} in {}: {ready}, generation {}, store {store}, {} requests open\n",
        report.member.vm, report.member.domain, report.generation, report.open_requests,
    );
    for note in &report.notes {
        let _ = writeln!(text, "  note: {note}");
    }
    if !report.unreachable_domains.is_empty() {
        let _ = writeln!(text, "  unreachable: {}", list(&report.unreachable_domains));
    }
    for (member, generation) in &report.members {
        let _ = writeln!(
            text,
            "  {} in {}: generation {generation}",
            member.vm, member.domain
        );
    }
    text
}

/// Formats the upstreams, one per line.
pub(super) fn fleet(report: &FleetReport) -> String {
    report.upstreams.iter().map(upstream).collect()
}

fn upstream(status: &UpstreamStatus) -> String {
    let state = match status.state {
        ServiceState::Serving => "serving",
        ServiceState::Drained => "drained",
    };
    format!(
        "{} in {}: {state}, owner {}, fencing {}, {} of {} requests, {} KV bytes, models {}\n",
        status.upstream,
        status.domain,
        or_dash(status.owner.as_ref()),
        or_dash(status.fencing),
        or_dash(status.in_flight_requests),
        or_dash(status.limit_requests),
        or_dash(status.kv_held_bytes),
        or_dash(Some(list(&status.models)).filter(|text| !text.is_empty())),
    )
}

fn or_dash<T: Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
