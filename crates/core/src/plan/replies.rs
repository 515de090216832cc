//! Replies to operators.

use super::pending_command::PendingCommand;
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

/// Marks an open plan as expired if its lifetime ended before `unix_ms`.
pub(super) fn with_expiry(mut plan: Plan, unix_ms: u64) -> Plan {
    if plan.state == PlanState::Open && plan.expires_unix_ms <= unix_ms {
        plan.state = PlanState::Expired;
    }
    plan
}

/// Applies `with_expiry`, then marks an open plan as superseded if its base generation is older
/// than `head`.
pub(super) fn with_state_at_head(plan: Plan, unix_ms: u64, head: Generation) -> Plan {
    let mut plan = with_expiry(plan, unix_ms);
    if plan.state == PlanState::Open && plan.base_generation < head {
        plan.state = PlanState::Superseded;
    }
    plan
}

/// Reports which members apply the generation of `record`.
pub(super) fn confirm_report(
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

/// Returns a random plan id.
pub(super) fn random_plan_id(ctx: &mut Context<'_>) -> PlanId {
    let bits: u64 = ctx.rng.random();
    let text = format!("p{bits:016x}");
    text.parse()
        .expect("hexadecimal digits are allowed in names")
}

/// Sends a reply to an operator.
pub(super) fn reply(ctx: &mut Context<'_>, call: CallToken, reply: OperatorReply) {
    ctx.act(Action::OperatorReply {
        call,
        reply: Box::new(reply),
    });
}

/// Replies with an error. Returns `None`, because the command is complete.
pub(super) fn refuse(
    ctx: &mut Context<'_>,
    command: &PendingCommand,
    error: OperatorError,
) -> Option<PendingCommand> {
    reply(ctx, command.call, OperatorReply::Refused(error));
    None
}
