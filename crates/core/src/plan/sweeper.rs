//! Removal of old plans from the table service.

use super::{rows, PlanSettings};
use crate::{
    config::rows::{plan_key, PLANS},
    operator::Plan,
    platform::{CallToken, Part, PlatformError, TableAnswer, TableOp},
    Action, Context,
};
use bytes::Bytes;

/// Plans looked at after each new one. Ids are random, so is the place where the look starts.
const LOOK_LEN: u32 = 32;

/// Removes old plans: with each new plan, this daemon looks at a few rows at a random place.
#[derive(Debug, Default)]
pub(super) struct Sweeper {
    awaited: Option<(CallToken, u64)>,
}

impl Sweeper {
    /// A plan was stored.
    pub(super) fn look(&mut self, ctx: &mut Context<'_>, unix_ms: u64) {
        let start = super::answers::fresh_id(ctx);
        let token = ctx.token(Part::Plan);
        self.awaited = Some((token, unix_ms));
        ctx.act(Action::Table {
            token,
            op: TableOp::Scan {
                prefix: PLANS.into(),
                after: Some(plan_key(&start)),
                limit_len: LOOK_LEN,
            },
        });
    }

    /// Takes the answer to a look. False where the answer is to another call.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        settings: &PlanSettings,
        token: CallToken,
        answer: &Result<TableAnswer, PlatformError>,
    ) -> bool {
        let Some((_, unix_ms)) = self.awaited.take_if(|(asked, _)| *asked == token) else {
            return false;
        };
        let Ok(TableAnswer::Rows(rows)) = answer else {
            return true;
        };
        let old = |raw: &Bytes| {
            let plan = serde_json::from_slice::<Plan>(raw).ok();
            plan.is_some_and(|plan| plan.expires_unix_ms + settings.retention().get() <= unix_ms)
        };
        let old: Vec<_> = rows.iter().filter(|(_, raw)| old(raw)).cloned().collect();
        if !old.is_empty() {
            let token = ctx.token(Part::Plan);
            let op = rows::remove(old);
            ctx.act(Action::Table { token, op });
        }
        true
    }
}
