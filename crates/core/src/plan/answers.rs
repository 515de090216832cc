//! What operators are told.

use super::confirm::Command;
use crate::{
    config::ChangeRecord,
    ids::{Generation, PlanId},
    message::Member,
    operator::{ConfirmReport, OperatorError, OperatorReply, Plan, PlanState},
    platform::CallToken,
    units::Millis,
    Action, Context, View,
};
use rand::RngExt;

/// A plan as it stands at a time: an open one that was not confirmed in time has expired.
pub(super) fn aged(mut plan: Plan, unix_ms: u64) -> Plan {
    if plan.state == PlanState::Open && plan.expires_unix_ms <= unix_ms {
        plan.state = PlanState::Expired;
    }
    plan
}

/// Where a generation is in force.
pub(super) fn report(
    view: &View<'_>,
    members: &[(Member, Generation)],
    record: &ChangeRecord,
    waited_ms: Millis,
) -> ConfirmReport {
    let applies = |(member, generation): &&(Member, Generation)| {
        let generation = match member.vm == view.me.vm {
            true => view.config.generation,
            false => *generation,
        };
        generation >= record.generation
    };
    let (reached, missing): (Vec<_>, Vec<_>) = members.iter().partition(applies);
    let names = |list: Vec<&(Member, Generation)>| {
        list.into_iter()
            .map(|(member, _)| member.vm.clone())
            .collect()
    };
    ConfirmReport {
        plan: record.plan.clone(),
        generation: record.generation,
        in_force: names(reached),
        not_reached: names(missing),
        waited_ms,
    }
}

/// A random plan id.
pub(super) fn fresh_id(ctx: &mut Context<'_>) -> PlanId {
    let bits: u64 = ctx.rng.random();
    let text = format!("p{bits:016x}");
    text.parse()
        .expect("hexadecimal digits are allowed in names")
}

/// Answers an operator.
pub(super) fn reply(ctx: &mut Context<'_>, call: CallToken, reply: OperatorReply) {
    ctx.act(Action::OperatorReply {
        call,
        reply: Box::new(reply),
    });
}

/// Ends a command with a refusal.
pub(super) fn refuse(
    ctx: &mut Context<'_>,
    command: &Command,
    error: OperatorError,
) -> Option<Command> {
    reply(ctx, command.call, OperatorReply::Refused(error));
    None
}
