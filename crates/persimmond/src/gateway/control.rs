//! The control thread: owns the dispatcher and executes its actions.

use super::{meter::Meter, traffic::Job};
use flume::{Receiver, RecvTimeoutError, Sender};
use log::Level;
use persimmon_core::{
    dispatch::{DispatchAction, DispatchEvent, DispatchRecord, Dispatcher},
    ids::VmId,
    units::Millis,
};
use persimmon_io::{
    logs::LogLine,
    transport::{CallCommand, DrainState, Hub, SharedLimits, Target},
    BootClock,
};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, PoisonError,
    },
    time::Duration,
};

/// Interval at which the gauges are updated.
const GAUGE_INTERVAL_MS: Millis = Millis::new(1_000);

/// State of the control thread.
pub(super) struct Control {
    pub(super) vm: VmId,
    pub(super) dispatcher: Dispatcher,
    pub(super) clock: BootClock,
    pub(super) inbox: Receiver<DispatchEvent>,
    pub(super) hub: Arc<Hub>,
    pub(super) jobs: Sender<Job>,
    pub(super) limits: SharedLimits,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) meter: Meter,
}

impl Control {
    /// Runs until the dispatcher emits `DispatchAction::Exit`.
    pub(super) fn run(mut self) {
        let mut actions = Vec::new();
        let mut gauges_updated_at = self.clock.now();
        loop {
            let now = self.clock.now();
            if now.since(gauges_updated_at) >= GAUGE_INTERVAL_MS {
                gauges_updated_at = now;
                self.meter.update_gauges(now, &self.dispatcher);
            }
            let wait_ms = self.dispatcher.next_wakeup().since(now);
            let wait = wait_ms.duration() + Duration::from_millis(1);
            let event = match self.inbox.recv_timeout(wait) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => DispatchEvent::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if let DispatchEvent::StoreAnswered { topic, answer } = &event {
                self.meter.count_store_call(*topic, answer);
            }
            self.dispatcher
                .handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                if self.execute(action) {
                    return;
                }
            }
        }
    }

    /// Executes an action. Returns true if it is the last one.
    fn execute(&self, action: DispatchAction) -> bool {
        match action {
            DispatchAction::Send(plan) => {
                self.hub.send_command(plan.call, CallCommand::Send(plan));
            }
            DispatchAction::PassFailure { call } => {
                self.hub.send_command(call, CallCommand::PassFailure);
            }
            DispatchAction::Receive { call } => self.hub.send_command(call, CallCommand::Receive),
            DispatchAction::Refuse { call, refusal } => {
                self.hub.send_command(call, CallCommand::Refuse(refusal));
            }
            DispatchAction::AbortAnswer { call } => self.hub.send_command(call, CallCommand::Abort),
            DispatchAction::Notify { to, message } => self.send_job(Job::Notify { to, message }),
            DispatchAction::ReadStore(call) => self.send_job(Job::ReadStore(call)),
            DispatchAction::CheckUpstream {
                upstream,
                address,
                paths,
            } => {
                let target = Target::upstream(address, upstream, paths);
                self.send_job(Job::CheckUpstream(target));
            }
            DispatchAction::AnswerRelay { relay, address } => {
                self.hub.answer_relay(relay, address);
            }
            DispatchAction::DiscardRelayed { peer } => self.send_job(Job::DiscardRelayed { peer }),
            DispatchAction::DiscardIdle {
                addresses,
                idle_for_ms,
            } => self.send_job(Job::DiscardIdle {
                addresses,
                idle_for_ms,
            }),
            DispatchAction::Order(order) => self.send_job(Job::Order(order)),
            DispatchAction::Register { after_ms } => self.send_job(Job::Register { after_ms }),
            DispatchAction::Limits(limits) => {
                *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
            }
            DispatchAction::Ready(ready) => self.ready.store(ready, Ordering::Relaxed),
            DispatchAction::DisableKeepAlive => self.drain(DrainState::CloseAfterResponse),
            DispatchAction::CloseIdleConnections => self.drain(DrainState::CloseIdle),
            DispatchAction::Log(record) => self.log(&record),
            DispatchAction::Exit => {
                self.send_job(Job::Exit);
                return true;
            }
        }
        false
    }

    fn drain(&self, state: DrainState) {
        self.send_job(Job::Drain(state));
    }

    /// Sends a job to the traffic thread. Sending fails only when the process ends.
    fn send_job(&self, job: Job) {
        let _ = self.jobs.send(job);
    }

    fn log(&self, record: &DispatchRecord) {
        self.meter.on_record(record);
        match LogLine::new(&self.vm, level(record), record) {
            Ok(line) => line.write(log::logger()),
            Err(error) => log::error!("can't encode a log record: {error}"),
        }
    }
}

const fn level(record: &DispatchRecord) -> Level {
    match record {
        DispatchRecord::Refused { .. }
        | DispatchRecord::MemoryRefused { .. }
        | DispatchRecord::UpstreamBytesLimit { .. }
        | DispatchRecord::UpstreamCrashed { .. }
        | DispatchRecord::Links { lost: true, .. }
        | DispatchRecord::FingerprintQuarantined { .. }
        | DispatchRecord::SendFailed { .. }
        | DispatchRecord::CatalogHeld { .. }
        | DispatchRecord::CatalogRefused { .. }
        | DispatchRecord::DomainHeld { .. }
        | DispatchRecord::FreshnessReportIgnored { .. }
        | DispatchRecord::OrderFailed { .. }
        | DispatchRecord::StoreRestored { .. }
        | DispatchRecord::Unreadable { .. }
        | DispatchRecord::Dependency {
            reachable: false, ..
        } => Level::Warn,
        _ => Level::Info,
    }
}
