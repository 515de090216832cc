//! The control thread: passes events to the core and executes its actions.

use crate::{
    meter::{measure, Meter},
    pool::Pool,
    Clock, ControlCore,
};
use flume::{Receiver, RecvTimeoutError, Sender};
use persimmon_core::{
    decision::Record,
    ids::{UpstreamId, VmId},
    platform::PlatformError,
    request::UpstreamError,
    units::{Millis, Time},
    Action, Event,
};
use persimmon_io::{
    link::PeerLink,
    logs::LogLine,
    operator::OperatorCalls,
    platform::PlatformClient,
    traffic::{ActionTarget, Readiness, TrafficHub},
    upstream::UpstreamClient,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

/// Longest time between two ticks.
const TICK_INTERVAL_MAX_MS: Millis = Millis::new(200);

/// Shortest time between two ticks.
const TICK_INTERVAL_MIN_MS: Millis = Millis::new(1);

/// State of the control thread. Owns the core and executes its actions.
pub(crate) struct Control {
    pub(crate) vm: VmId,
    pub(crate) core: Box<dyn ControlCore>,
    pub(crate) meter: Meter,
    pub(crate) clock: Clock,
    pub(crate) inbox: Receiver<Event>,
    pub(crate) events: Sender<Event>,
    pub(crate) hub: Arc<TrafficHub>,
    pub(crate) operator_calls: Arc<OperatorCalls>,
    pub(crate) link: Arc<dyn PeerLink>,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) upstream: Arc<dyn UpstreamClient>,
    pub(crate) platform_pool: Pool,
    pub(crate) upstream_pool: Pool,
    pub(crate) long_order_pool: Pool,
    pub(crate) killed: Arc<AtomicBool>,
}

impl Control {
    /// Handles events until the core emits `Action::Exit` or the daemon is killed.
    pub(crate) fn run(mut self) {
        let mut actions = Vec::new();
        let mut last_tick = self.clock.now();
        while !self.killed.load(Ordering::Relaxed) {
            let event = self.next_event(&mut last_tick);
            self.handle(event, &mut actions);
            for action in actions.drain(..) {
                self.meter.on_action(&action);
                if matches!(action, Action::Exit) {
                    return;
                }
                self.execute(action);
            }
        }
    }

    fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        let now = self.clock.now();
        self.meter.on_event(now, &event);
        let duration = measure(|| self.core.handle(now, event, actions));
        self.meter.on_handled(duration);
        if self.meter.is_sample_due(now) {
            let status = self.core.status();
            let peer_bytes = self.link.traffic_bytes();
            self.meter.sample(now, status.as_ref(), peer_bytes);
        }
    }

    fn next_event(&self, last_tick: &mut Time) -> Event {
        let latest = *last_tick + TICK_INTERVAL_MAX_MS;
        let wakeup = self.core.next_wakeup().unwrap_or(latest).min(latest);
        let due = wakeup.max(*last_tick + TICK_INTERVAL_MIN_MS);
        let received = if due <= self.clock.now() {
            Err(RecvTimeoutError::Timeout)
        } else {
            self.inbox.recv_deadline(self.clock.instant(due))
        };
        received.unwrap_or_else(|_| {
            *last_tick = self.clock.now();
            self.meter.on_timer_delay(last_tick.since(due));
            Event::Tick
        })
    }

    fn execute(&self, action: Action) {
        let action = match ActionTarget::from(action) {
            ActionTarget::Request(request, command) => {
                self.hub.send_command(request, command);
                return;
            }
            ActionTarget::Other(other) => other,
        };
        match action {
            Action::SendPeer {
                to,
                address,
                message,
            } => self.link.send(&to, address, message),
            Action::Table { token, op } => self.call_platform(
                move |platform| platform.table(&op),
                move |answer| Event::Platform { token, answer },
            ),
            Action::Object { token, op } => self.call_platform(
                move |platform| platform.object(&op),
                move |answer| Event::Platform { token, answer },
            ),
            Action::ListVms => {
                self.call_platform(|platform| platform.vms(), |answer| Event::Vms { answer })
            }
            other => self.execute_upstream(other),
        }
    }

    fn execute_upstream(&self, action: Action) {
        match action {
            Action::Order(order) => {
                let (upstream, token) = (order.upstream.clone(), order.token);
                let pool = match order.kind.is_long() {
                    true => &self.long_order_pool,
                    false => &self.upstream_pool,
                };
                self.call_upstream(
                    pool,
                    move |client| client.order(&order),
                    move |answer| {
                        Some(Event::OrderAnswered {
                            upstream,
                            token,
                            answer,
                        })
                    },
                );
            }
            Action::PollLoad { upstream, address } => self.call_upstream(
                &self.upstream_pool,
                move |client| client.load(address).map(Box::new),
                move |answer| Some(Event::Load { upstream, answer }),
            ),
            Action::PollCache {
                upstream,
                address,
                from_seq_index,
            } => self.poll_cache(upstream, address, from_seq_index),
            other => self.execute_local(other),
        }
    }

    fn execute_local(&self, action: Action) {
        match action {
            Action::OperatorReply { call, reply } => {
                self.operator_calls.reply(call, *reply);
            }
            Action::Log(record) => write_log(&self.vm, &record),
            Action::Ready { ready, notes } => {
                self.hub.set_readiness(Readiness { ready, notes });
            }
            other => log::error!("unhandled action of the core: {other:?}"),
        }
    }

    fn poll_cache(&self, upstream: UpstreamId, address: SocketAddr, from_seq_index: Option<u64>) {
        self.call_upstream(
            &self.upstream_pool,
            move |client| client.cache(address, from_seq_index),
            // A failed poll is dropped: the next poll asks again, and a missed batch shows as a gap.
            move |answer| answer.ok().map(|batch| Event::Cache { upstream, batch }),
        );
    }

    fn call_platform<T: 'static>(
        &self,
        call: impl FnOnce(&dyn PlatformClient) -> Result<T, PlatformError> + Send + 'static,
        event: impl FnOnce(Result<T, PlatformError>) -> Event + Clone + Send + 'static,
    ) {
        let (platform, events) = (Arc::clone(&self.platform), self.events.clone());
        let on_answer = event.clone();
        let job = move || {
            // Sending fails if the control thread has ended.
            let _ = events.send(on_answer(call(&*platform)));
        };
        if !self.platform_pool.run(job) {
            let _ = self.events.send(event(Err(PlatformError::Unavailable)));
        }
    }

    fn call_upstream<T: 'static>(
        &self,
        pool: &Pool,
        call: impl FnOnce(&dyn UpstreamClient) -> Result<T, UpstreamError> + Send + 'static,
        event: impl FnOnce(Result<T, UpstreamError>) -> Option<Event> + Clone + Send + 'static,
    ) {
        let (upstream, events) = (Arc::clone(&self.upstream), self.events.clone());
        let on_answer = event.clone();
        let job = move || {
            if let Some(event) = on_answer(call(&*upstream)) {
                // Sending fails if the control thread has ended.
                let _ = events.send(event);
            }
        };
        if !pool.run(job) {
            let reason = "the daemon's queue of upstream calls is full".into();
            if let Some(event) = event(Err(UpstreamError::NotRun { reason })) {
                let _ = self.events.send(event);
            }
        }
    }
}

fn write_log(vm: &VmId, record: &Record) {
    match LogLine::try_from((vm, record)) {
        Ok(line) => line.write(log::logger()),
        Err(error) => log::error!("can't encode a log record: {error}"),
    }
}
