//! Bytes of requests in flight at upstreams: what is counted, learned and reported to peers, and requests that
//! the memory budget refuses.

use super::{
    dispatcher::{Dispatcher, OpenCall, Out},
    DispatchAction, DispatchMessage, DispatchRecord, ExtensionFrame, ExtensionMessage,
};
use crate::{
    ids::{CallId, SendId, UpstreamId, VmId},
    memory_budget::{UpstreamBytesReport, UpstreamBytesTable},
    units::{ByteCount, Millis, Time},
};
use std::sync::Arc;

/// Least time between two reports to peers.
const REPORT_INTERVAL_MS: Millis = Millis::new(200);

/// A request that was refused because the memory budget has no room for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemoryRefusal {
    /// The request id that the caller chose.
    pub request_id: Arc<str>,
    /// Size of the body that the caller states, or what arrived of it if that is more.
    pub body_bytes: ByteCount,
    /// What the daemon held.
    pub held_bytes: ByteCount,
    /// What the daemon may hold.
    pub budget_bytes: ByteCount,
    /// `Retry-After` for the caller.
    pub retry_after_ms: Millis,
    /// Number of refusals before this one that were not reported.
    pub unreported_count: u64,
}

/// Bytes in flight, and when peers were last told.
#[derive(Debug, Default)]
pub(super) struct UpstreamBytes {
    pub(super) table: UpstreamBytesTable,
    reported_at: Option<Time>,
}

impl Dispatcher {
    /// Logs a request that the transport refused.
    pub(super) fn on_memory_refused(&self, out: &mut Out<'_>, refusal: MemoryRefusal) {
        out.log(DispatchRecord::MemoryRefused {
            request: refusal.request_id,
            body_bytes: refusal.body_bytes,
            held_bytes: refusal.held_bytes,
            budget_bytes: refusal.budget_bytes,
            retry_after_ms: refusal.retry_after_ms,
            unreported_count: refusal.unreported_count,
        });
    }

    /// Counts the body of a call that is sent to an upstream.
    pub(super) fn count_upstream_bytes(
        &mut self,
        now: Time,
        call: CallId,
        send: SendId,
        upstream: &UpstreamId,
    ) {
        if let (Some(_), Some(open)) = (self.settings.memory, self.calls.get(&call)) {
            let body = open.call.body_bytes;
            self.upstream_bytes.table.on_sent(now, send, upstream, body);
        }
    }

    /// Notes that an upstream responds while it holds all that is in flight there.
    pub(super) fn note_borne_bytes(&mut self, call: CallId) {
        let open = self.calls.get(&call);
        let sending = open.and_then(|open| Some((open.sending.as_ref()?, &open.service.name)));
        if let (Some(_), Some((sending, service))) = (self.settings.memory, sending) {
            let upstream = &sending.upstream;
            self.upstream_bytes.table.on_response(upstream, service);
        }
    }

    /// Whether an upstream bears a call's body beside what is in flight there.
    pub(super) fn bears_body(&self, now: Time, open: &OpenCall, upstream: &UpstreamId) -> bool {
        let (service, body) = (&open.service.name, open.call.body_bytes);
        let table = &self.upstream_bytes.table;
        self.settings.memory.is_none() || table.has_room(now, upstream, service, body)
    }

    /// Learns from an upstream whose process ended.
    pub(super) fn learn_upstream_bytes(&mut self, out: &mut Out<'_>, upstream: &UpstreamId) {
        let (Some(settings), Some(known)) = (self.settings.memory, self.fleet.get(upstream)) else {
            return;
        };
        let service = known.record.service.clone();
        let min = settings.upstream_min_bytes;
        let table = &mut self.upstream_bytes.table;
        if let Some(limit_bytes) = table.on_crash(out.now, upstream, &service, min) {
            out.log(DispatchRecord::UpstreamBytesLimit {
                service,
                limit_bytes,
                upstream: Some(upstream.clone()),
                reported_by: None,
            });
        }
    }

    /// Handles a peer's report.
    pub(super) fn on_peer_upstream_bytes(
        &mut self,
        out: &mut Out<'_>,
        vm: &VmId,
        report: UpstreamBytesReport,
    ) {
        let (Some(settings), Some(catalog)) = (self.settings.memory, self.catalog.clone()) else {
            return;
        };
        let min = settings.upstream_min_bytes;
        let is_known = |service: &_| catalog.service(service).is_some();
        let table = &mut self.upstream_bytes.table;
        for (service, limit_bytes) in table.on_report(out.now, vm, report, min, is_known) {
            out.log(DispatchRecord::UpstreamBytesLimit {
                service,
                limit_bytes,
                upstream: None,
                reported_by: Some(vm.clone()),
            });
        }
    }

    /// Reports what has changed by much to all peers.
    pub(super) fn report_upstream_bytes(&mut self, out: &mut Out<'_>) {
        let is_due = |at: Time| out.now.since(at) >= REPORT_INTERVAL_MS;
        let bytes = &mut self.upstream_bytes;
        if !bytes.reported_at.is_none_or(is_due) || !bytes.table.has_news() {
            return;
        }
        bytes.reported_at = Some(out.now);
        if let Some(report) = bytes.table.take_report() {
            self.notify_extension(out, &ExtensionMessage::UpstreamBytes(report));
        }
    }

    /// Reports all that is known to a peer that has just connected, if it reads that.
    pub(super) fn report_all_upstream_bytes(&self, out: &mut Out<'_>, vm: &VmId) {
        let report = self.upstream_bytes.table.full_report(out.now);
        let frame = ExtensionFrame::try_from(&ExtensionMessage::UpstreamBytes(report.clone()));
        let Ok(frame) = frame else { return };
        if report != UpstreamBytesReport::default()
            && self
                .extension_peers
                .all_read(std::iter::once(vm), frame.kind)
        {
            out.act(DispatchAction::Notify {
                to: Some(vm.clone()),
                message: DispatchMessage::Extension(frame),
            });
        }
    }
}
