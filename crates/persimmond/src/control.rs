//! The control thread.

use crate::{
    meter::{timed, Meter},
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
const TICK_MS: Millis = Millis::new(200);

/// Shortest time between two ticks.
const TICK_GAP_MS: Millis = Millis::new(1);

/// Owns the core and carries out its actions.
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
    /// Handles events until the core says that all is done or the daemon is killed.
    pub(crate) fn run(mut self) {
        let mut actions = Vec::new();
        let mut ticked = self.clock.now();
        while !self.killed.load(Ordering::Relaxed) {
            let event = self.next_event(&mut ticked);
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
        let took = timed(|| self.core.handle(now, event, actions));
        self.meter.on_handled(took);
        if self.meter.is_due(now) {
            let status = self.core.status();
            let peer_bytes = self.link.traffic_bytes();
            self.meter.look(now, status.as_ref(), peer_bytes);
        }
    }

    fn next_event(&self, ticked: &mut Time) -> Event {
        let latest = *ticked + TICK_MS;
        let wanted = self.core.next_wakeup().unwrap_or(latest).min(latest);
        let due = wanted.max(*ticked + TICK_GAP_MS);
        let received = if due <= self.clock.now() {
            Err(RecvTimeoutError::Timeout)
        } else {
            self.inbox.recv_deadline(self.clock.instant(due))
        };
        received.unwrap_or_else(|_| {
            *ticked = self.clock.now();
            self.meter.on_late(ticked.since(due));
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
            other => self.execute_own(other),
        }
    }

    fn execute_own(&self, action: Action) {
        match action {
            Action::OperatorReply { call, reply } => {
                self.operator_calls.reply(call, *reply);
            }
            Action::Log(record) => write_log(&self.vm, &record),
            Action::Ready { ready, notes } => {
                self.hub.set_readiness(Readiness { ready, notes });
            }
            other => log::error!("an action without a carrier: {other:?}"),
        }
    }

    fn poll_cache(&self, upstream: UpstreamId, address: SocketAddr, from: Option<u64>) {
        self.call_upstream(
            &self.upstream_pool,
            move |client| client.cache(address, from),
            // The next poll asks again: a missed batch shows as a gap.
            move |answer| answer.ok().map(|batch| Event::Cache { upstream, batch }),
        );
    }

    fn call_platform<T: 'static>(
        &self,
        call: impl FnOnce(&dyn PlatformClient) -> Result<T, PlatformError> + Send + 'static,
        event: impl FnOnce(Result<T, PlatformError>) -> Event + Clone + Send + 'static,
    ) {
        let (platform, events) = (Arc::clone(&self.platform), self.events.clone());
        let answered = event.clone();
        let job = move || {
            // The control thread may have ended meanwhile.
            let _ = events.send(answered(call(&*platform)));
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
        let answered = event.clone();
        let job = move || {
            if let Some(event) = answered(call(&*upstream)) {
                // The control thread may have ended meanwhile.
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
        Err(error) => log::error!("a record can't be written: {error}"),
    }
}
