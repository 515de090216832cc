//! Removal of old plans from the table service.

use super::{rows, PlanSettings};
use crate::{
    config::rows::{plan_key, PLANS},
    operator::Plan,
    platform::{CallToken, Component, PlatformError, TableAnswer, TableOp},
    Action, Context,
};
use bytes::Bytes;

/// Number of rows scanned after each new plan.
const SCAN_LEN: u32 = 32;

/// Removes old plans incrementally: after each new plan it scans a few rows from a random key and
/// deletes those past retention. Plan ids are random, so over time the scans cover all rows.
#[derive(Debug, Default)]
pub(super) struct OldPlanSweeper {
    /// The pending scan and its time in milliseconds since the Unix epoch.
    pending_scan: Option<(CallToken, u64)>,
}

impl OldPlanSweeper {
    /// Starts a scan at a random key, after a plan was stored.
    pub(super) fn scan_random_page(&mut self, ctx: &mut Context<'_>, unix_ms: u64) {
        let start = super::replies::random_plan_id(ctx);
        let token = ctx.token(Component::Plan);
        self.pending_scan = Some((token, unix_ms));
        ctx.act(Action::Table {
            token,
            op: TableOp::Scan {
                prefix: PLANS.into(),
                after: Some(plan_key(&start)),
                limit_len: SCAN_LEN,
            },
        });
    }

    /// Handles the answer to a scan. Returns false if the answer belongs to another call.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Context<'_>,
        settings: &PlanSettings,
        token: CallToken,
        answer: &Result<TableAnswer, PlatformError>,
    ) -> bool {
        let Some((_, unix_ms)) = self.pending_scan.take_if(|(asked, _)| *asked == token) else {
            return false;
        };
        let Ok(TableAnswer::Rows(rows)) = answer else {
            return true;
        };
        let is_old = |raw: &Bytes| {
            let plan = serde_json::from_slice::<Plan>(raw).ok();
            plan.is_some_and(|plan| plan.expires_unix_ms + settings.retention().get() <= unix_ms)
        };
        let old: Vec<_> = rows
            .iter()
            .filter(|(_, raw)| is_old(raw))
            .cloned()
            .collect();
        if !old.is_empty() {
            let token = ctx.token(Component::Plan);
            let op = rows::delete_rows(old);
            ctx.act(Action::Table { token, op });
        }
        true
    }
}
