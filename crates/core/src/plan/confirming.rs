//! The steps of a confirmation: read the plan, write the generation, explain a conflict.

use super::{
    answers::refuse,
    confirm::{Command, Stage},
    rows, Planner,
};
use crate::{
    config::{rows::read_head, ChangeRecord},
    operator::{OperatorError, Plan, PlanState},
    platform::Part,
    Action, Context,
};
use bytes::Bytes;

impl Planner {
    /// The plan's row was read before it is confirmed.
    pub(super) fn on_read(
        &mut self,
        ctx: &mut Context<'_>,
        mut command: Command,
        value: Option<Bytes>,
    ) -> Option<Command> {
        let (plan, stored) = match self.read(&command, value) {
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
                command.stage = Stage::Fetching(Box::new(record));
                Some(command)
            }
            PlanState::Expired => refuse(ctx, &command, OperatorError::Expired(plan.id)),
            PlanState::Superseded | PlanState::Open if command.check_head => {
                command.stage = Stage::Explaining(Box::new(Plan {
                    state: PlanState::Open,
                    ..plan
                }));
                Some(command)
            }
            _ => {
                command.stage = Stage::Writing(Box::new(record));
                command.token = None;
                let op = match &command.stage {
                    Stage::Writing(record) => rows::confirm(&plan, stored, record),
                    _ => return None,
                };
                let token = ctx.token(Part::Plan);
                command.token = Some(token);
                command.store_attempts += 1;
                command.due = ctx.now + self.settings.call_timeout();
                ctx.act(Action::Table { token, op });
                Some(command)
            }
        }
    }

    /// The record of a plan confirmed before was read: it needs no poll here either.
    pub(super) fn on_record(
        &mut self,
        ctx: &Context<'_>,
        command: Command,
        expected: ChangeRecord,
        value: Option<Bytes>,
    ) -> Option<Command> {
        let parsed = value.and_then(|raw| serde_json::from_slice::<ChangeRecord>(&raw).ok());
        let stored = parsed.filter(|record| record.plan == expected.plan);
        self.committed.extend(stored);
        Some(spread(ctx, command, expected))
    }

    /// The head was read after a write whose outcome was not plain.
    pub(super) fn on_head(
        &mut self,
        ctx: &mut Context<'_>,
        mut command: Command,
        plan: Plan,
        value: Option<Bytes>,
    ) -> Option<Command> {
        let head = read_head(value.as_deref()).unwrap_or_default();
        if head == plan.base_generation {
            // Nothing came first: the write is tried again, under the same conditions.
            command.check_head = false;
            command.stage = Stage::Reading;
            return self.again(ctx, command);
        }
        let token = ctx.token(Part::Plan);
        let op = rows::supersede(&plan);
        ctx.act(Action::Table { token, op });
        let error = OperatorError::Conflict {
            planned: plan.base_generation,
            head,
        };
        refuse(ctx, &command, error)
    }
}

/// The generation is in the store: the members' reports are awaited.
pub(super) fn spread(ctx: &Context<'_>, mut command: Command, record: ChangeRecord) -> Command {
    command.stage = Stage::Spreading(Box::new(record), ctx.now);
    command.due = ctx.now;
    command
}
