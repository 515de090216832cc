//! Invariants that must hold at the end of every simulation, under any faults.

use crate::{Caller, Fleet, Node, RequestEnd};
use persimmon_core::{
    request::{CallTarget, FinalResponse},
    units::Time,
};

/// Describes the first violated invariant, if any.
pub fn invariant_violation(fleet: &Fleet) -> Option<String> {
    let executions = fleet
        .executions
        .iter()
        .find(|(_, executions)| executions.len() > 1);
    if let Some((name, executions)) = executions {
        return Some(format!(
            "call {name} was executed {} times, for requests {executions:?}",
            executions.len()
        ));
    }
    for caller in fleet.callers.values() {
        if let Some(text) = caller_violation(fleet, caller) {
            return Some(format!("request {}: {text}", caller.spec.id));
        }
    }
    for (vm, state) in &fleet.vms {
        let open = state.node.as_deref().map_or(0, Node::open_requests);
        if open > 0 {
            return Some(format!("{vm} has {open} open requests"));
        }
    }
    None
}

fn caller_violation(fleet: &Fleet, caller: &Caller) -> Option<String> {
    let Some((at, end)) = &caller.end else {
        return Some("has no final response".into());
    };
    let must_end_by = fleet.must_end_by(caller);
    // A process that dies while it is paused can't answer in time.
    if *at > must_end_by && *end != RequestEnd::ConnectionLost {
        return Some(format!("ended at {at}, later than {must_end_by}"));
    }
    if caller.extra_final_responses_count > 0 {
        return Some("got more than one final response".into());
    }
    if !caller.tokens_are_correct() {
        return Some("got a token that does not belong at its offset".into());
    }
    if caller.got_false_not_run() {
        return Some(format!("was told not_run although an attempt ran: {end:?}"));
    }
    let is_complete = matches!(
        end,
        RequestEnd::Answered(FinalResponse::Complete | FinalResponse::Stored(_))
    );
    if is_complete && !caller.has_complete_answer() {
        return Some(format!(
            "was told that its answer is complete, with {} tokens",
            caller.delivered()
        ));
    }
    if let (RequestEnd::Answered(FinalResponse::Stored(result)), CallTarget::Service(call)) =
        (end, &caller.spec.target)
    {
        let key = call.key.as_ref().map_or("", |key| key.as_str());
        let executions = fleet
            .executions
            .get(&format!("{}/{key}", caller.spec.workspace));
        let first = executions.and_then(|executions| executions.first());
        if first.is_none_or(|first| result.body != format!("done for {first}")) {
            return Some("got a result that is not of the first execution".into());
        }
    }
    None
}

/// Whether any open request is past its deadline.
pub fn any_overdue(fleet: &Fleet) -> bool {
    let late = |(at, caller): (Time, &Caller)| caller.is_open() && at > caller.deadline();
    fleet
        .callers
        .values()
        .any(|caller| late((fleet.now, caller)))
}
