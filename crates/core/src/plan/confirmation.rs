//! Steps of a confirmation: read the plan, write the generation, find the cause of a conflict.

use super::{
    pending_command::{PendingCommand, Stage},
    replies::refuse,
    rows, Planner,
};
use crate::{
    config::{rows::read_head, ChangeRecord},
    operator::{OperatorError, Plan, PlanState},
    platform::Component,
    Action, Context,
};
use bytes::Bytes;

impl Planner {
    /// Handles the row of a plan that is to be confirmed.
    pub(super) fn on_plan_row(
        &mut self,
        ctx: &mut Context<'_>,
        mut command: PendingCommand,
        value: Option<Bytes>,
    ) -> Option<PendingCommand> {
        let (plan, stored) = match self.parse_plan(&command, value) {
            Ok(found) => found,
            Err(error) => return refuse(ctx, &command, error),
        };
        let record = ChangeRecord {
            generation: plan.base_generation.next(),
            plan: plan.id.clone(),
            operator: command.operator.clone(),
            confirmed_unix_ms: command.unix_ms,
            change: plan.change.clone(),
        };
        match plan.state {
            PlanState::Confirmed => {
                command.stage = Stage::ReadingRecord(Box::new(record));
                Some(command)
            }
            PlanState::Expired => refuse(ctx, &command, OperatorError::Expired(plan.id)),
            PlanState::Superseded | PlanState::Open if command.check_head => {
                command.stage = Stage::ReadingHead(Box::new(Plan {
                    state: PlanState::Open,
                    ..plan
                }));
                Some(command)
            }
            _ => {
                command.stage = Stage::Writing(Box::new(record));
                command.token = None;
                let op = match &command.stage {
                    Stage::Writing(record) => rows::confirm_plan(&plan, stored, record),
                    _ => return None,
                };
                let token = ctx.token(Component::Plan);
                command.token = Some(token);
                command.store_attempts += 1;
                command.due = ctx.now + self.settings.call_timeout();
                ctx.act(Action::Table { token, op });
                Some(command)
            }
        }
    }

    /// Handles the change record of a plan that is already confirmed. The record is also applied
    /// here, without waiting for the next poll.
    pub(super) fn on_record(
        &mut self,
        ctx: &Context<'_>,
        command: PendingCommand,
        expected: ChangeRecord,
        value: Option<Bytes>,
    ) -> Option<PendingCommand> {
        let parsed = value.and_then(|raw| serde_json::from_slice::<ChangeRecord>(&raw).ok());
        let stored = parsed.filter(|record| record.plan == expected.plan);
        self.committed.extend(stored);
        Some(await_members(ctx, command, expected))
    }

    /// Handles the head, read after a conflict or a lost answer: retries the write if the head is
    /// still the base of the plan, otherwise marks the plan as superseded.
    pub(super) fn on_head(
        &mut self,
        ctx: &mut Context<'_>,
        mut command: PendingCommand,
        plan: Plan,
        value: Option<Bytes>,
    ) -> Option<PendingCommand> {
        let head = read_head(value.as_deref()).unwrap_or_default();
        if head == plan.base_generation {
            // No other change was made in the meantime: retry the write under the same conditions.
            command.check_head = false;
            command.stage = Stage::ReadingPlan;
            return self.retry_or_refuse(ctx, command);
        }
        let token = ctx.token(Component::Plan);
        let op = rows::mark_superseded(&plan);
        ctx.act(Action::Table { token, op });
        let error = OperatorError::Conflict {
            planned: plan.base_generation,
            head,
        };
        refuse(ctx, &command, error)
    }
}

/// Waits for the members to report a generation that is now stored.
pub(super) fn await_members(
    ctx: &Context<'_>,
    mut command: PendingCommand,
    record: ChangeRecord,
) -> PendingCommand {
    command.stage = Stage::AwaitingMembers(Box::new(record), ctx.now);
    command.due = ctx.now;
    command
}
