//! What must hold at the end of any run, whatever happened.

use crate::{Caller, Fleet, Node, RequestEnd};
use persimmon_core::{
    request::{CallTarget, FinalResponse},
    units::Time,
};

/// The first broken promise, if any.
pub fn invariant_violation(fleet: &Fleet) -> Option<String> {
    let runs = fleet.executions.iter().find(|(_, runs)| runs.len() > 1);
    if let Some((name, runs)) = runs {
        return Some(format!("{name} ran {} times: {runs:?}", runs.len()));
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
        return Some("has no last word".into());
    };
    let must_end_by = fleet.must_end_by(caller);
    // A process that dies while it is paused says nothing more.
    if *at > must_end_by && *end != RequestEnd::ConnectionLost {
        return Some(format!("ended at {at}, due {must_end_by}"));
    }
    if caller.extra_final_responses_count > 0 {
        return Some("got a second last word".into());
    }
    if !caller.tokens_are_correct() {
        return Some("got a token of another answer".into());
    }
    if caller.got_false_not_run() {
        return Some(format!("was told not_run although it ran: {end:?}"));
    }
    let is_complete = matches!(
        end,
        RequestEnd::Answered(FinalResponse::Complete | FinalResponse::Stored(_))
    );
    if is_complete && !caller.has_complete_answer() {
        return Some(format!("got {} tokens as whole", caller.delivered()));
    }
    if let (RequestEnd::Answered(FinalResponse::Stored(result)), CallTarget::Service(call)) =
        (end, &caller.spec.target)
    {
        let key = call.key.as_ref().map_or("", |key| key.as_str());
        let runs = fleet
            .executions
            .get(&format!("{}/{key}", caller.spec.workspace));
        let first = runs.and_then(|runs| runs.first());
        if first.is_none_or(|first| result.body != format!("done for {first}")) {
            return Some("got the result of another run".into());
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
