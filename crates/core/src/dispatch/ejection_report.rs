//! Reports of ejected upstreams to peers. A daemon that has lost its own links sees failures everywhere, and by
//! way of peers that have lost theirs too, so a report waits until it would know. Peers that try an upstream which
//! refuses connections lose little meanwhile. One that is silent costs them their time limit for connecting, but
//! this daemon took as long to notice.

use super::{
    dispatcher::{Dispatcher, Out},
    DispatchMessage,
};
use crate::{
    ids::UpstreamId,
    path::{PathAttempts, PathEnd},
    units::{Millis, Time},
};

/// Time for which a report of an upstream that refuses connections waits. Within it, a daemon under load sees a
/// lost link.
const REPORT_DELAY_MS: Millis = Millis::new(250);

/// An ejection that peers are not told of yet.
#[derive(Debug)]
struct Report {
    due_at: Time,
    upstream: UpstreamId,
    for_ms: Millis,
    unreachable: bool,
}

/// The reports that wait.
#[derive(Debug, Default)]
pub(super) struct EjectionReports {
    waiting: Vec<Report>,
}

impl EjectionReports {
    /// When the next report is due.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        self.waiting.iter().map(|report| report.due_at).min()
    }
}

impl Dispatcher {
    /// Reports an ejection as soon as the attempts to connect are evidence against the upstream, if this
    /// daemon's links are sound then.
    pub(super) fn report_ejection_if_sound(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        for_ms: Millis,
        unreachable: bool,
        attempts: &PathAttempts,
    ) {
        let delay_ms = match attempts.direct() {
            Some(PathEnd::Refused) => REPORT_DELAY_MS,
            _ => Millis::ZERO,
        };
        self.ejection_reports.waiting.push(Report {
            due_at: now + delay_ms,
            upstream: upstream.clone(),
            for_ms,
            unreachable,
        });
    }

    /// Sends the reports that are due.
    pub(super) fn progress_ejection_reports(&mut self, out: &Out<'_>) {
        let waiting = std::mem::take(&mut self.ejection_reports.waiting);
        let (due, later): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|report| report.due_at <= out.now);
        self.ejection_reports.waiting = later;
        let are_sound = self.links.are_sound(out.now);
        for report in due {
            if are_sound && self.health.get(&report.upstream).is_ejected(out.now) {
                self.report_ejection(out, &report.upstream, report.for_ms, report.unreachable);
            }
        }
    }

    /// Asks the peers to eject an upstream too.
    pub(super) fn report_ejection(
        &mut self,
        out: &Out<'_>,
        upstream: &UpstreamId,
        for_ms: Millis,
        unreachable: bool,
    ) {
        self.notify_now(
            out.now,
            DispatchMessage::UpstreamEjected {
                upstream: upstream.clone(),
                for_ms,
                unreachable,
            },
        );
    }
}
