//! Shares of workspaces in dispatch: counts the work of calls, reports it to peers, and holds back calls of
//! workspaces over their share.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out},
    DispatchRecord, ExtensionMessage,
};
use crate::{
    ids::{CallId, SendId},
    sharing::{
        engine_work_ms, OverShare, SentWork, SentWorkTable, ShareHolder, ShareTable,
        SharingSettings, WorkReport,
    },
    units::{Millis, Time},
};
use std::sync::Arc;

/// Time for which a change waits to be reported with others. A call that finds no capacity is known to all
/// peers within this time and the pause between reports.
const WORK_REPORT_DELAY_MS: Millis = Millis::new(50);

/// Longest wait in the queue for a share. It is the same for all kinds of requests: with waits in proportion
/// to the latency target, less urgent kinds of a workspace would be served more often.
const SHARE_WAIT_MAX_MS: Millis = Millis::new(250);

impl OpenCall {
    fn share_holder(&self) -> ShareHolder {
        let workspace = self.holder.as_ref().map(|holder| holder.workspace.clone());
        workspace.map_or(ShareHolder::Unknown, ShareHolder::Workspace)
    }

    /// Work that the call asks of engines; none at a plain service, where it is known at the end.
    fn engine_work_ms(&self) -> Option<f64> {
        let (profile, prompt) = (self.service.engine.as_ref()?, self.call.prompt?);
        Some(engine_work_ms(
            profile,
            prompt.prompt_tokens,
            prompt.output_tokens,
        ))
    }
}

impl Dispatcher {
    /// Number of workspaces whose work is counted, over all services.
    pub fn share_holders_len(&self) -> usize {
        self.sharing.as_ref().map_or(0, ShareTable::holders_len)
    }

    /// Uses changed settings. Without settings, what is known is forgotten.
    pub(super) fn update_sharing(&mut self, settings: Option<SharingSettings>) {
        match (&mut self.sharing, settings) {
            (Some(sharing), Some(settings)) => sharing.update_settings(settings),
            (sharing, settings) => {
                *sharing = settings.map(ShareTable::new);
                self.sent_work = SentWorkTable::default();
            }
        }
    }

    /// Whether a call's workspace is over its share while others lack capacity. Calls that were sent before
    /// don't give way.
    pub(super) fn over_share(&self, now: Time, open: &OpenCall) -> Option<OverShare> {
        let sharing = self.sharing.as_ref()?;
        if open.tries_count > 0 {
            return None;
        }
        let service = &open.service.name;
        let usable = self.fleet.usable(service);
        let units: u64 = if open.service.engine.is_some() {
            usable.count() as u64
        } else {
            usable.map(|known| u64::from(known.record.slots_len)).sum()
        };
        // Daemons that aren't heard use their part of the capacity, and their work isn't counted.
        let nominal_ms_per_s = units as f64 * 1e3 * self.heard_share_ratio();
        let holder = open.share_holder();
        sharing.over_share(now, service, &holder, open.priority(), nominal_ms_per_s)
    }

    /// Whether a call over its share is queued, because its share allows it soon. Otherwise it is refused at
    /// once.
    pub(super) fn may_wait_for_share(
        &self,
        out: &mut Out<'_>,
        open: &OpenCall,
        over: OverShare,
    ) -> bool {
        let queue_until = (open.arrived_at + SHARE_WAIT_MAX_MS).min(open.on_time_deadline());
        let queued = out.now + over.wait_ms <= queue_until;
        if open.waiting_since.is_none() || !queued {
            out.log(DispatchRecord::OverShare {
                request: Arc::clone(&open.call.request_id),
                service: open.service.name.clone(),
                holder: open.share_holder(),
                work_ms: Millis::new(over.work_ms as u64),
                share_ms: Millis::new(over.share_ms as u64),
                wait_ms: over.wait_ms,
                next: if queued { "wait" } else { "refuse" },
            });
        }
        queued
    }

    /// Time until a call's share allows it; zero if it does now.
    pub(super) fn share_wait_ms(&self, now: Time, open: &OpenCall) -> Millis {
        self.over_share(now, open)
            .map_or(Millis::ZERO, |over| over.wait_ms)
    }

    /// Counts a call that found no capacity, when it is queued or refused at once.
    pub(super) fn count_unserved(&mut self, now: Time, call: CallId) {
        let (Some(sharing), Some(open)) = (&mut self.sharing, self.calls.get(&call)) else {
            return;
        };
        if open.waiting_since.is_some() || open.tries_count > 0 {
            return;
        }
        let target_ms = open.route.target_latency_ms.get() as f64;
        let work_ms = open.engine_work_ms().unwrap_or(target_ms);
        let holder = open.share_holder();
        sharing.add_unserved(now, &open.service.name, &holder, open.priority(), work_ms);
        self.schedule_work_report(now);
    }

    /// Counts the work of a call that is being sent.
    pub(super) fn count_sent_work(&mut self, now: Time, call: CallId, send: SendId) {
        let (Some(sharing), Some(open)) = (&mut self.sharing, self.calls.get(&call)) else {
            return;
        };
        let work = SentWork {
            service: open.service.name.clone(),
            holder: open.share_holder(),
            sent_at: now,
            counted_ms: open.engine_work_ms(),
        };
        if let Some(work_ms) = work.counted_ms {
            sharing.add_sent(now, &work.service, &work.holder, work_ms);
        }
        self.sent_work.start(send, work);
        self.schedule_work_report(now);
    }

    /// Counts the time that an ended transmission has used a slot of a plain upstream.
    pub(super) fn settle_sent_work(&mut self, now: Time, send: SendId) {
        let Some(work) = self.sent_work.end(send) else {
            return;
        };
        let slot_ms = now.since(work.sent_at).get() as f64;
        if let (None, Some(sharing)) = (work.counted_ms, &mut self.sharing) {
            sharing.add_sent(now, &work.service, &work.holder, slot_ms);
            self.schedule_work_report(now);
        }
    }

    /// Takes back the work of a transmission that no upstream has run.
    pub(super) fn refund_sent_work(&mut self, now: Time, send: SendId) {
        let Some(work) = self.sent_work.end(send) else {
            return;
        };
        if let (Some(counted_ms), Some(sharing)) = (work.counted_ms, &mut self.sharing) {
            let counted = (work.sent_at, counted_ms);
            sharing.refund(now, &work.service, &work.holder, counted);
        }
    }

    /// Has the next batch sent in time for changes that peers have not been told.
    pub(super) fn schedule_work_report(&mut self, now: Time) {
        let due_at = self.sharing.as_ref().and_then(|s| s.report_due_at(now));
        if let Some(due_at) = due_at {
            self.outbox.set_due(due_at + WORK_REPORT_DELAY_MS);
        }
    }

    /// Adds the report of work to the messages that are about to be sent, if one is due.
    pub(super) fn report_workspace_work(&mut self, out: &mut Out<'_>) {
        let report = self.sharing.as_mut().and_then(|s| s.take_report(out.now));
        if let Some(report) = report {
            self.notify_extension(out, &ExtensionMessage::WorkspaceWork(report));
        }
    }

    /// Handles a peer's report of work. Work at services that the catalog lacks is ignored.
    pub(super) fn on_workspace_work(&mut self, now: Time, mut reports: Vec<WorkReport>) {
        let (Some(sharing), Some(catalog)) = (&mut self.sharing, &self.catalog) else {
            return;
        };
        reports.retain(|report| catalog.service(&report.service).is_some());
        sharing.on_reports(now, &reports);
    }
}
