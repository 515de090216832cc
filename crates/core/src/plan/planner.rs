//! Handles operators' commands about plans, from intent to confirmation.

use super::{
    confirmation::await_members,
    draft::Draft,
    old_plan_sweeper::OldPlanSweeper,
    pending_command::{PendingCommand, Stage},
    replies::{confirm_report, random_plan_id, refuse, reply, with_expiry, with_state_at_head},
    rows, PlanInputs, PlanSettings,
};
use crate::{
    config::{
        rows::{plan_key, record_key, HEAD, PLANS},
        ChangeRecord,
    },
    ids::{Generation, OperatorName, PlanId},
    message::Member,
    operator::{Intent, OperatorCommand, OperatorError, OperatorReply, Plan},
    platform::{CallToken, Component, PlatformError, TableAnswer, TableKey, TableOp},
    units::{Millis, Time},
    Action, Context, View,
};
use bytes::Bytes;
use rand::RngExt;

/// Interval at which the members' generations are checked after a confirmation.
const REPORT_INTERVAL: Millis = Millis::new(50);

/// Number of plans per page when plans are listed.
const PAGE_LEN: u32 = 200;

/// Handles operators' commands about plans, from intent to confirmation.
#[derive(Debug)]
pub struct Planner {
    pub(super) settings: PlanSettings,
    commands: Vec<PendingCommand>,
    /// Records that this daemon committed or read, not yet passed to the configuration store.
    pub(super) committed: Vec<ChangeRecord>,
    sweeper: OldPlanSweeper,
}

impl Planner {
    /// Creates a planner without pending commands.
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            commands: Vec::new(),
            committed: Vec::new(),
            sweeper: OldPlanSweeper::default(),
        }
    }

    /// Handles an operator's command about plans; other commands are ignored.
    #[allow(clippy::too_many_arguments)]
    pub fn on_command(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        inputs: &PlanInputs,
        call: CallToken,
        operator: OperatorName,
        command: OperatorCommand,
        unix_ms: u64,
    ) {
        let (plan, stage) = match command {
            OperatorCommand::Plan { intent, force } => {
                let draft = Draft {
                    id: random_plan_id(ctx),
                    intent,
                    operator: operator.clone(),
                    base: view.config,
                    inputs,
                    force,
                    unix_ms,
                };
                match self.draft(draft) {
                    Ok(plan) => (Some(plan.id.clone()), Stage::Storing(Box::new(plan))),
                    Err(error) => return reply(ctx, call, OperatorReply::Refused(error)),
                }
            }
            OperatorCommand::PlanShow(id) => (Some(id), Stage::Showing),
            OperatorCommand::PlanList => (None, Stage::Listing(Vec::new(), None)),
            OperatorCommand::Confirm(id) => (Some(id), Stage::ReadingPlan),
            _ => return,
        };
        self.commands.push(PendingCommand {
            call,
            operator,
            plan,
            unix_ms,
            stage,
            token: None,
            due: ctx.now,
            store_attempts: 0,
            outcome_unknown: false,
            check_head: false,
        });
        self.run_due(ctx);
    }

    /// Handles the answer to a call to the store.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        if self.sweeper.on_answer(ctx, &self.settings, token, &answer) {
            return;
        }
        let awaits_token = |command: &PendingCommand| command.token == Some(token);
        let Some(index) = self.commands.iter().position(awaits_token) else {
            return;
        };
        let mut command = self.commands.swap_remove(index);
        command.token = None;
        let next = match answer {
            Ok(answer) => self.on_answer(ctx, view, command, answer),
            Err(error) => self.on_failure(ctx, command, &error),
        };
        self.commands.extend(next);
        self.run_due(ctx);
    }

    /// Handles time-outs and due retries, and replies to confirmations whose generation is in force
    /// on all members or whose time limit has passed.
    pub fn on_tick(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        members: &[(Member, Generation)],
    ) {
        let commands = std::mem::take(&mut self.commands);
        for mut command in commands {
            let next = match &command.stage {
                Stage::AwaitingMembers(record, since) => {
                    let report = confirm_report(view, members, record, ctx.now.since(*since));
                    let timed_out = *since + self.settings.confirm_timeout() <= ctx.now;
                    if report.not_reached.is_empty() || timed_out {
                        reply(ctx, command.call, OperatorReply::Confirmed(report));
                        None
                    } else {
                        command.due = ctx.now + REPORT_INTERVAL;
                        Some(command)
                    }
                }
                _ if command.token.is_some() && command.due <= ctx.now => {
                    command.token = None;
                    self.on_failure(ctx, command, &PlatformError::AnswerLost)
                }
                _ => Some(command),
            };
            self.commands.extend(next);
        }
        self.run_due(ctx);
    }

    /// Returns the records committed since the last call of this method, for the configuration
    /// store.
    pub fn take_committed(&mut self) -> Vec<ChangeRecord> {
        std::mem::take(&mut self.committed)
    }

    /// Returns the time at which `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.commands.iter().map(|command| command.due).min()
    }

    fn draft(&self, draft: Draft<'_>) -> Result<Plan, OperatorError> {
        let unconfigured = draft.base.generation == Generation::default();
        if unconfigured && !matches!(draft.intent, Intent::Replace(_)) {
            return Err(OperatorError::NotReady);
        }
        draft.plan(&self.settings)
    }

    /// Calls the store for each command that is due and has no pending call.
    fn run_due(&mut self, ctx: &mut Context<'_>) {
        for command in &mut self.commands {
            let Some(op) = next_store_op(command) else {
                continue;
            };
            if command.token.is_some() || command.due > ctx.now {
                continue;
            }
            let token = ctx.token(Component::Plan);
            command.token = Some(token);
            command.store_attempts += 1;
            command.due = ctx.now + self.settings.call_timeout();
            ctx.act(Action::Table { token, op });
        }
    }

    fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        mut command: PendingCommand,
        answer: TableAnswer,
    ) -> Option<PendingCommand> {
        command.due = ctx.now;
        match (command.stage.clone(), answer) {
            (Stage::Storing(plan), TableAnswer::Done | TableAnswer::Conflict) => {
                // Plan ids are random, so a conflict means that an earlier attempt stored this
                // plan.
                reply(ctx, command.call, OperatorReply::Plan(plan));
                self.sweeper.scan_random_page(ctx, command.unix_ms);
                None
            }
            (Stage::Showing, TableAnswer::Value(value)) => {
                let response = match self.parse_plan(&command, value) {
                    Ok((plan, _)) => {
                        let plan =
                            with_state_at_head(plan, command.unix_ms, view.config.generation);
                        OperatorReply::Plan(Box::new(plan))
                    }
                    Err(error) => OperatorReply::Refused(error),
                };
                reply(ctx, command.call, response);
                None
            }
            (Stage::Listing(plans, _), TableAnswer::Rows(rows)) => {
                on_page(ctx, view, command, plans, &rows)
            }
            (Stage::ReadingRecord(record), TableAnswer::Value(value)) => {
                self.on_record(ctx, command, *record, value)
            }
            (Stage::ReadingPlan, TableAnswer::Value(value)) => {
                self.on_plan_row(ctx, command, value)
            }
            (Stage::Writing(record), TableAnswer::Done) => {
                self.committed.push((*record).clone());
                Some(await_members(ctx, command, *record))
            }
            (Stage::Writing(_), TableAnswer::Conflict) => {
                // Either another change was made first, or an earlier attempt succeeded. The state
                // in the plan's row distinguishes the two.
                command.check_head = true;
                command.stage = Stage::ReadingPlan;
                Some(command)
            }
            (Stage::ReadingHead(plan), TableAnswer::Value(value)) => {
                self.on_head(ctx, command, *plan, value)
            }
            _ => self.on_failure(ctx, command, &PlatformError::Unavailable),
        }
    }

    fn on_failure(
        &mut self,
        ctx: &mut Context<'_>,
        mut command: PendingCommand,
        error: &PlatformError,
    ) -> Option<PendingCommand> {
        let was_writing = matches!(command.stage, Stage::Writing(_));
        if was_writing {
            command.outcome_unknown |= *error == PlatformError::AnswerLost;
            command.check_head |= command.outcome_unknown;
            command.stage = Stage::ReadingPlan;
        }
        self.retry_or_refuse(ctx, command)
    }

    /// Schedules a retry with jitter. After the last attempt refuses the command: the outcome is
    /// unknown if a transaction's answer was lost, otherwise the store is unavailable.
    pub(super) fn retry_or_refuse(
        &mut self,
        ctx: &mut Context<'_>,
        mut command: PendingCommand,
    ) -> Option<PendingCommand> {
        if command.store_attempts < self.settings.max_store_attempts() {
            let delay_ms = self.settings.retry_delay().get();
            let jittered_ms = ctx.rng.random_range(delay_ms / 2..=delay_ms * 3 / 2);
            command.due = ctx.now + Millis::new(jittered_ms);
            return Some(command);
        }
        let error = match &command.plan {
            Some(id) if command.outcome_unknown => OperatorError::OutcomeUnknown(id.clone()),
            _ => OperatorError::StoreUnavailable,
        };
        refuse(ctx, &command, error)
    }

    pub(super) fn parse_plan(
        &self,
        command: &PendingCommand,
        value: Option<Bytes>,
    ) -> Result<(Plan, Bytes), OperatorError> {
        let parsed = value.and_then(|raw| Some((serde_json::from_slice(&raw).ok()?, raw)));
        match (parsed, &command.plan) {
            (Some((plan, raw)), _) => Ok((with_expiry(plan, command.unix_ms), raw)),
            (None, Some(id)) => Err(OperatorError::UnknownPlan(id.clone())),
            (None, None) => Err(OperatorError::StoreUnavailable),
        }
    }
}

/// Returns the next store operation of a command, or `None` while it writes a generation or waits
/// for the members.
fn next_store_op(command: &PendingCommand) -> Option<TableOp> {
    let get = |id: &PlanId| TableOp::Get { key: plan_key(id) };
    match &command.stage {
        Stage::Storing(plan) => Some(rows::insert_plan(plan)),
        Stage::Showing | Stage::ReadingPlan => command.plan.as_ref().map(get),
        Stage::Listing(_, after) => Some(TableOp::Scan {
            prefix: PLANS.into(),
            after: after.clone(),
            limit_len: PAGE_LEN,
        }),
        Stage::ReadingRecord(record) => Some(TableOp::Get {
            key: record_key(record.generation),
        }),
        Stage::ReadingHead(_) => Some(TableOp::Get { key: HEAD.into() }),
        Stage::Writing(_) | Stage::AwaitingMembers(..) => None,
    }
}

/// Handles a page of plans: requests the next page, or replies if the page is not full.
fn on_page(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    mut command: PendingCommand,
    mut plans: Vec<Plan>,
    rows: &[(TableKey, Bytes)],
) -> Option<PendingCommand> {
    let parsed = rows
        .iter()
        .filter_map(|(_, raw)| serde_json::from_slice(raw).ok());
    plans.extend(
        parsed.map(|plan| with_state_at_head(plan, command.unix_ms, view.config.generation)),
    );
    match rows.last() {
        Some((last, _)) if rows.len() == PAGE_LEN as usize => {
            command.stage = Stage::Listing(plans, Some(last.clone()));
            command.store_attempts = 0;
            Some(command)
        }
        _ => {
            reply(ctx, command.call, OperatorReply::Plans(plans));
            None
        }
    }
}
