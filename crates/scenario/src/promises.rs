//! What must hold at the end of any run, whatever happened.

use crate::{Caller, End, Fleet, Node};
use persimmon_core::{
    request::{CallTarget, FinalResponse},
    units::Time,
};

/// The first broken promise, if any.
pub fn broken_promise(fleet: &Fleet) -> Option<String> {
    let runs = fleet.runs.iter().find(|(_, runs)| runs.len() > 1);
    if let Some((name, runs)) = runs {
        return Some(format!("{name} ran {} times: {runs:?}", runs.len()));
    }
    for caller in fleet.callers.values() {
        if let Some(text) = broken_to(fleet, caller) {
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

fn broken_to(fleet: &Fleet, caller: &Caller) -> Option<String> {
    let Some((at, end)) = &caller.end else {
        return Some("has no last word".into());
    };
    let must_end_by = fleet.must_end_by(caller);
    // A process that dies while it is paused says nothing more.
    if *at > must_end_by && *end != End::ConnectionLost {
        return Some(format!("ended at {at}, due {must_end_by}"));
    }
    if caller.extra_ends_count > 0 {
        return Some("got a second last word".into());
    }
    if !caller.is_intact() {
        return Some("got a token of another answer".into());
    }
    if caller.was_lied_to() {
        return Some(format!("was told not_run although it ran: {end:?}"));
    }
    let is_complete = matches!(
        end,
        End::Said(FinalResponse::Complete | FinalResponse::Stored(_))
    );
    if is_complete && !caller.is_whole() {
        return Some(format!("got {} tokens as whole", caller.delivered()));
    }
    if let (End::Said(FinalResponse::Stored(result)), CallTarget::Service(call)) =
        (end, &caller.spec.target)
    {
        let key = call.key.as_ref().map_or("", |key| key.as_str());
        let runs = fleet.runs.get(&format!("{}/{key}", caller.spec.workspace));
        let first = runs.and_then(|runs| runs.first());
        if first.is_none_or(|first| result.body != format!("done for {first}")) {
            return Some("got the result of another run".into());
        }
    }
    None
}

/// Whether any open request is past its deadline.
pub fn is_overdue(fleet: &Fleet) -> bool {
    let late = |(at, caller): (Time, &Caller)| caller.is_open() && at > caller.deadline();
    fleet
        .callers
        .values()
        .any(|caller| late((fleet.now, caller)))
}
