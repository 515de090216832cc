//! One daemon's dispatcher in virtual time.

use super::{batch_at, catalog, daemons_listed, id, ms, position_in, upstream_list, KEY};
use persimmon_core::{
    catalog::ApiKey,
    dispatch::{
        Call, DispatchAction, DispatchEvent, DispatchSettings, Dispatcher, OrderOutcome,
        PromptSize, RawDispatchSettings, RefusalReason, ReserveOrder, SendOutcome, SendPlan,
    },
    ids::{CallId, Fingerprint},
    units::{ByteCount, Millis, Time, Tokens},
    watch::{Change, StoreError, Topic},
};

/// Two windows of the retry budget: a daemon that has run for so long has earned all that it may.
pub(crate) const SETTLED_MS: Millis = Millis::new(20_000);

pub(crate) struct Node {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Time,
    /// Size of the bodies of the calls.
    pub(crate) body_bytes: ByteCount,
    last_call: CallId,
    era: u64,
    version: u64,
}

/// The actions that tests check.
#[derive(Debug, PartialEq)]
pub(crate) enum Seen {
    Send(Box<SendPlan>),
    PassFailure(CallId),
    Refuse(CallId, RefusalReason, bool, Option<Millis>),
    AbortAnswer(CallId),
    Ready(bool),
    Order(ReserveOrder),
    Exit,
}

impl Node {
    /// A daemon without a catalog or upstreams.
    pub(crate) fn empty() -> Self {
        Self::named("vm-0")
    }

    /// A daemon on this VM without a catalog or upstreams.
    pub(crate) fn named(vm: &str) -> Self {
        Self::settled(vm, RawDispatchSettings::default())
    }

    /// A daemon with these settings, without a catalog or upstreams.
    pub(crate) fn with_settings(raw: RawDispatchSettings) -> Self {
        Self::settled("vm-0", raw)
    }

    /// A daemon that has run for a while, alone in the list of daemons.
    fn settled(vm: &str, raw: RawDispatchSettings) -> Self {
        let mut node = Self::started(vm, raw);
        node.step(daemons_listed([id(vm)].into_iter()));
        // The reads that it has begun: what it learns is not as old as they are.
        for topic in [Topic::Operators, Topic::Upstreams] {
            node.store_fails(topic);
        }
        node.now = Time::START + SETTLED_MS;
        node
    }

    /// A daemon that has just started and has read nothing.
    pub(crate) fn started(vm: &str, raw: RawDispatchSettings) -> Self {
        let settings = DispatchSettings::try_from(raw).unwrap();
        Self {
            dispatcher: Dispatcher::new(settings, id(vm), id("a")),
            now: Time::START,
            body_bytes: ByteCount::ZERO,
            last_call: CallId::default(),
            era: 0,
            version: 0,
        }
    }

    /// A daemon with the catalog and upstreams.
    pub(crate) fn ready(engines_len: u16, plain_len: u16) -> Self {
        let mut node = Self::empty();
        node.learn(engines_len, plain_len);
        node
    }

    /// Gives the daemon the catalog and upstreams.
    pub(crate) fn learn(&mut self, engines_len: u16, plain_len: u16) {
        self.step(DispatchEvent::Tick);
        self.operators(true, vec![Change::Catalog(Box::new(catalog(1)))]);
        self.upstreams(true, upstream_list(engines_len, plain_len));
    }

    pub(crate) fn step(&mut self, event: DispatchEvent) -> Vec<Seen> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions.into_iter().filter_map(seen).collect()
    }

    /// Advances time, with ticks when they are due.
    pub(crate) fn pass(&mut self, span: Millis) -> Vec<Seen> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now = self.dispatcher.next_wakeup().max(self.now + ms(1)).min(end);
            all.extend(self.step(DispatchEvent::Tick));
        }
        all
    }

    pub(crate) fn operators(&mut self, whole: bool, changes: Vec<Change>) -> Vec<Seen> {
        self.watched(Topic::Operators, whole, changes)
    }

    pub(crate) fn upstreams(&mut self, whole: bool, changes: Vec<Change>) -> Vec<Seen> {
        self.watched(Topic::Upstreams, whole, changes)
    }

    /// The store is restored from a copy that was made `lost_len` versions ago.
    pub(crate) fn restore_store(&mut self, lost_len: u64) {
        self.era += 1;
        self.version -= lost_len;
    }

    pub(crate) fn store_fails(&mut self, topic: Topic) -> Vec<Seen> {
        let answer = Err(StoreError::Refused { status: 503 });
        self.step(DispatchEvent::StoreAnswered { topic, answer })
    }

    fn watched(&mut self, topic: Topic, whole: bool, changes: Vec<Change>) -> Vec<Seen> {
        self.version += 1;
        let answer = Ok(Box::new(batch_at(
            position_in(self.era, self.version),
            whole,
            changes,
        )));
        self.step(DispatchEvent::StoreAnswered { topic, answer })
    }

    pub(crate) fn call(&mut self, route: &str, prompt_tokens: u64) -> (CallId, Vec<Seen>) {
        self.call_with(route, prompt_tokens, Some(KEY))
    }

    pub(crate) fn call_with(
        &mut self,
        route: &str,
        prompt_tokens: u64,
        key: Option<&str>,
    ) -> (CallId, Vec<Seen>) {
        self.last_call = self.last_call.next();
        let call = self.last_call;
        let event = DispatchEvent::Arrived(Box::new(Call {
            id: call,
            request_id: format!("request-{call}").into(),
            host: "cells.example".into(),
            path: format!("/{route}/x"),
            key: key.map(ApiKey::from),
            deadline_ms: Some(ms(10_000)),
            prompt: (prompt_tokens > 0).then(|| PromptSize {
                prompt_tokens: Tokens::new(prompt_tokens),
                output_tokens: Tokens::new(1_600),
            }),
            fingerprints: Vec::new(),
            prefix: Default::default(),
            content: Fingerprint::new(call.get()),
            body_bytes: self.body_bytes,
            age_ms: Millis::ZERO,
        }));
        (call, self.step(event))
    }

    /// The caller of the last call leaves.
    pub(crate) fn cancel_last_call(&mut self) {
        let call = self.last_call;
        self.step(DispatchEvent::CallerLeft { call });
    }

    pub(crate) fn ordered(&mut self, order: &ReserveOrder, end: OrderOutcome) -> Vec<Seen> {
        self.step(DispatchEvent::OrderEnded {
            ticket: order.ticket.clone(),
            kind: order.kind,
            end,
        })
    }

    pub(crate) fn ends(&mut self, plan: &SendPlan, end: SendOutcome) -> Vec<Seen> {
        let (call, send) = (plan.call, plan.send);
        self.step(DispatchEvent::Ended { call, send, end })
    }
}

fn seen(action: DispatchAction) -> Option<Seen> {
    Some(match action {
        DispatchAction::Send(plan) => Seen::Send(plan),
        DispatchAction::PassFailure { call } => Seen::PassFailure(call),
        DispatchAction::Refuse { call, refusal } => Seen::Refuse(
            call,
            refusal.reason,
            refusal.may_have_run,
            refusal.retry_after_ms,
        ),
        DispatchAction::AbortAnswer { call } => Seen::AbortAnswer(call),
        DispatchAction::Ready(ready) => Seen::Ready(ready),
        DispatchAction::Order(order) => Seen::Order(order),
        DispatchAction::Exit => Seen::Exit,
        _ => return None,
    })
}

/// The only action, which must be a transmission.
pub(crate) fn sent(seen: &[Seen]) -> &SendPlan {
    match seen {
        [Seen::Send(plan)] => plan,
        other => panic!("no single transmission: {other:?}"),
    }
}
