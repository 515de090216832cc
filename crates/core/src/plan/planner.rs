//! The operators' plans, from intent to confirmation.

use super::{
    answers::{aged, fresh_id, refuse, reply, report, shown},
    confirm::{Command, Stage},
    confirming::spread,
    draft::Draft,
    rows,
    sweeper::Sweeper,
    PlanInputs, PlanSettings,
};
use crate::{
    config::{
        rows::{plan_key, record_key, HEAD, PLANS},
        ChangeRecord,
    },
    ids::{Generation, OperatorName, PlanId},
    message::Member,
    operator::{Intent, OperatorCommand, OperatorError, OperatorReply, Plan},
    platform::{CallToken, Part, PlatformError, TableAnswer, TableKey, TableOp},
    units::{Millis, Time},
    Action, Context, View,
};
use bytes::Bytes;
use rand::RngExt;

/// Gap between two looks at where a generation is in force.
const REPORT_GAP: Millis = Millis::new(50);

/// Plans read at a time for a list.
const PAGE_LEN: u32 = 200;

/// The operators' plans, from intent to confirmation.
#[derive(Debug)]
pub struct Planner {
    pub(super) settings: PlanSettings,
    commands: Vec<Command>,
    pub(super) committed: Vec<ChangeRecord>,
    sweeper: Sweeper,
}

impl Planner {
    /// No plans under way.
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            commands: Vec::new(),
            committed: Vec::new(),
            sweeper: Sweeper::default(),
        }
    }

    /// An operator's command about plans.
    #[allow(clippy::too_many_arguments)]
    pub fn on_command(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        facts: &PlanInputs,
        call: CallToken,
        operator: OperatorName,
        command: OperatorCommand,
        unix_ms: u64,
    ) {
        let (plan, stage) = match command {
            OperatorCommand::Plan { intent, force } => {
                let draft = Draft {
                    id: fresh_id(ctx),
                    intent,
                    operator: operator.clone(),
                    base: view.config,
                    facts,
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
            OperatorCommand::Confirm(id) => (Some(id), Stage::Reading),
            _ => return,
        };
        self.commands.push(Command {
            call,
            operator,
            plan,
            unix_ms,
            stage,
            token: None,
            due: ctx.now,
            store_attempts: 0,
            unknown: false,
            check_head: false,
        });
        self.run_due(ctx);
    }

    /// The store answered.
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
        let asked = |command: &Command| command.token == Some(token);
        let Some(index) = self.commands.iter().position(asked) else {
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

    /// Retries, gives up and reports where confirmed generations are in force.
    pub fn on_tick(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        members: &[(Member, Generation)],
    ) {
        let commands = std::mem::take(&mut self.commands);
        for mut command in commands {
            let next = match &command.stage {
                Stage::Spreading(record, since) => {
                    let report = report(view, members, record, ctx.now.since(*since));
                    let over = *since + self.settings.confirm_wait() <= ctx.now;
                    if report.not_reached.is_empty() || over {
                        reply(ctx, command.call, OperatorReply::Confirmed(report));
                        None
                    } else {
                        command.due = ctx.now + REPORT_GAP;
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

    /// The records committed here since the last call, for the configuration's copy.
    pub fn take_committed(&mut self) -> Vec<ChangeRecord> {
        std::mem::take(&mut self.committed)
    }

    /// When `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.commands.iter().map(|command| command.due).min()
    }

    fn draft(&self, draft: Draft<'_>) -> Result<Plan, OperatorError> {
        let none = draft.base.generation == Generation::default();
        if none && !matches!(draft.intent, Intent::Replace(_)) {
            return Err(OperatorError::NotReady);
        }
        draft.plan(&self.settings)
    }

    /// Calls the store for every command that awaits nothing and is due.
    fn run_due(&mut self, ctx: &mut Context<'_>) {
        for command in &mut self.commands {
            let Some(op) = op_of(command) else { continue };
            if command.token.is_some() || command.due > ctx.now {
                continue;
            }
            let token = ctx.token(Part::Plan);
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
        mut command: Command,
        answer: TableAnswer,
    ) -> Option<Command> {
        command.due = ctx.now;
        match (command.stage.clone(), answer) {
            (Stage::Storing(plan), TableAnswer::Done | TableAnswer::Conflict) => {
                // The id is random: a conflict is an earlier try of this very plan.
                reply(ctx, command.call, OperatorReply::Plan(plan));
                self.sweeper.look(ctx, command.unix_ms);
                None
            }
            (Stage::Showing, TableAnswer::Value(value)) => {
                let said = match self.read(&command, value) {
                    Ok((plan, _)) => {
                        let plan = shown(plan, command.unix_ms, view.config.generation);
                        OperatorReply::Plan(Box::new(plan))
                    }
                    Err(error) => OperatorReply::Refused(error),
                };
                reply(ctx, command.call, said);
                None
            }
            (Stage::Listing(plans, _), TableAnswer::Rows(rows)) => {
                on_page(ctx, view, command, plans, &rows)
            }
            (Stage::Fetching(record), TableAnswer::Value(value)) => {
                self.on_record(ctx, command, *record, value)
            }
            (Stage::Reading, TableAnswer::Value(value)) => self.on_read(ctx, command, value),
            (Stage::Writing(record), TableAnswer::Done) => {
                self.committed.push((*record).clone());
                Some(spread(ctx, command, *record))
            }
            (Stage::Writing(_), TableAnswer::Conflict) => {
                // Either another change came first or an earlier try took effect: the row tells.
                command.check_head = true;
                command.stage = Stage::Reading;
                Some(command)
            }
            (Stage::Explaining(plan), TableAnswer::Value(value)) => {
                self.on_head(ctx, command, *plan, value)
            }
            _ => self.on_failure(ctx, command, &PlatformError::Unavailable),
        }
    }

    fn on_failure(
        &mut self,
        ctx: &mut Context<'_>,
        mut command: Command,
        error: &PlatformError,
    ) -> Option<Command> {
        let wrote = matches!(command.stage, Stage::Writing(_));
        if wrote {
            command.unknown |= *error == PlatformError::AnswerLost;
            command.check_head |= command.unknown;
            command.stage = Stage::Reading;
        }
        self.again(ctx, command)
    }

    /// Tries again a little later, or gives up with the most that can be said.
    pub(super) fn again(&mut self, ctx: &mut Context<'_>, mut command: Command) -> Option<Command> {
        if command.store_attempts < self.settings.attempts() {
            let gap_ms = self.settings.retry().get();
            let jittered_ms = ctx.rng.random_range(gap_ms / 2..=gap_ms * 3 / 2);
            command.due = ctx.now + Millis::new(jittered_ms);
            return Some(command);
        }
        let error = match &command.plan {
            Some(id) if command.unknown => OperatorError::OutcomeUnknown(id.clone()),
            _ => OperatorError::StoreUnavailable,
        };
        refuse(ctx, &command, error)
    }

    pub(super) fn read(
        &self,
        command: &Command,
        value: Option<Bytes>,
    ) -> Result<(Plan, Bytes), OperatorError> {
        let parsed = value.and_then(|raw| Some((serde_json::from_slice(&raw).ok()?, raw)));
        match (parsed, &command.plan) {
            (Some((plan, raw)), _) => Ok((aged(plan, command.unix_ms), raw)),
            (None, Some(id)) => Err(OperatorError::UnknownPlan(id.clone())),
            (None, None) => Err(OperatorError::StoreUnavailable),
        }
    }
}

/// The call of the store that a command needs next; none while it spreads or writes.
fn op_of(command: &Command) -> Option<TableOp> {
    let get = |id: &PlanId| TableOp::Get { key: plan_key(id) };
    match &command.stage {
        Stage::Storing(plan) => Some(rows::store(plan)),
        Stage::Showing | Stage::Reading => command.plan.as_ref().map(get),
        Stage::Listing(_, after) => Some(TableOp::Scan {
            prefix: PLANS.into(),
            after: after.clone(),
            limit_len: PAGE_LEN,
        }),
        Stage::Fetching(record) => Some(TableOp::Get {
            key: record_key(record.generation),
        }),
        Stage::Explaining(_) => Some(TableOp::Get { key: HEAD.into() }),
        Stage::Writing(_) | Stage::Spreading(..) => None,
    }
}

/// A page of plans was read: the next one follows until one is not full.
fn on_page(
    ctx: &mut Context<'_>,
    view: &View<'_>,
    mut command: Command,
    mut plans: Vec<Plan>,
    rows: &[(TableKey, Bytes)],
) -> Option<Command> {
    let parsed = rows
        .iter()
        .filter_map(|(_, raw)| serde_json::from_slice(raw).ok());
    plans.extend(parsed.map(|plan| shown(plan, command.unix_ms, view.config.generation)));
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
