//! A fake owner that randomly grants, queues, denies or ignores requests for grants.

use super::{upstream, upstreams_of};
use persimmon_core::{
    ids::{AttemptId, FencingNumber, UpstreamId, VmId},
    message::{
        CapacitySummary, GrantAnswer, GrantDenial, GrantMessage, GrantOffer, GrantRequest, Member,
        PeerMessage,
    },
    platform::{CallToken, Component},
    request::{CallTarget, Priority},
    units::{Millis, Time, Tokens},
    upstream::{Order, OrderKind},
    Action, Event,
};
use persimmon_scenario::Node;
use rand::Rng;
use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
use std::collections::BTreeMap;

/// Time after which a failed cancel is retried.
const CANCEL_RETRY_MS: Millis = Millis::new(500);

#[derive(Debug)]
struct Grant {
    offer: GrantOffer,
    expires_at: Time,
}

#[derive(Debug)]
pub struct OwnerNode {
    me: Member,
    rng: ChaCha8Rng,
    engines: Vec<UpstreamId>,
    servers: Vec<UpstreamId>,
    grants: BTreeMap<AttemptId, Grant>,
    queue: BTreeMap<AttemptId, (Time, VmId, GrantRequest)>,
    /// Cancels that were sent and not answered yet.
    cancels: BTreeMap<CallToken, (UpstreamId, AttemptId)>,
    /// Failed cancels, with the time of their retry.
    failed_cancels: Vec<(Time, UpstreamId, AttemptId)>,
    orders_count: u64,
}

impl OwnerNode {
    pub fn new(me: &Member, seed: u64, engines_count: usize) -> Self {
        let names = |is_service, count| {
            let names = upstreams_of(me.vm.as_str(), is_service, count);
            names.iter().map(|name| upstream(name)).collect()
        };
        Self {
            me: me.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: names(false, engines_count),
            servers: names(true, 3),
            grants: BTreeMap::new(),
            queue: BTreeMap::new(),
            cancels: BTreeMap::new(),
            failed_cancels: Vec::new(),
            orders_count: 0,
        }
    }

    fn reply(&self, to: &VmId, attempt: AttemptId, answer: GrantAnswer) -> Action {
        Action::SendPeer {
            to: to.clone(),
            address: self.me.peer_address,
            message: PeerMessage::Grant(GrantMessage::Answer { attempt, answer }),
        }
    }

    fn on_request(&mut self, now: Time, from: VmId, request: GrantRequest) -> Vec<Action> {
        let attempt = request.attempt;
        if let Some(grant) = self.grants.get(&attempt) {
            let answer = GrantAnswer::Granted(grant.offer.clone());
            return vec![self.reply(&from, attempt, answer)];
        }
        let denial = match self.rng.next_u64() % 100 {
            0..=69 => return self.grant(now, &from, &request),
            70..=84 => {
                let wait_ms = Millis::new(self.rng.next_u64() % 1_500);
                let entry = (now + wait_ms, from.clone(), request);
                self.queue.insert(attempt, entry);
                return vec![self.reply(&from, attempt, GrantAnswer::Queued { wait_ms })];
            }
            85..=89 => GrantDenial::Busy {
                better: None,
                retry_after_ms: Millis::new(200),
                summary: CapacitySummary::default(),
            },
            90..=92 => GrantDenial::Learning {
                retry_after_ms: Millis::new(100),
            },
            93..=95 => GrantDenial::NotOwner { better: None },
            _ => return Vec::new(),
        };
        vec![self.reply(&from, attempt, GrantAnswer::Denied(denial))]
    }

    fn grant(&mut self, now: Time, to: &VmId, request: &GrantRequest) -> Vec<Action> {
        let all = match request.spec.target {
            CallTarget::Model(_) => &self.engines,
            CallTarget::Service(_) => &self.servers,
        };
        let resumed = request.resume_at.clone().filter(|at| all.contains(at));
        let left: Vec<&UpstreamId> = all.iter().filter(|u| !request.avoid.contains(u)).collect();
        let index = self.rng.next_u64() as usize;
        let any = left.get(index % left.len().max(1)).copied().cloned();
        let resume = resumed.is_some();
        let attempt = request.attempt;
        let Some(upstream) = resumed.or(any) else {
            let denial = GrantDenial::Drained;
            return vec![self.reply(to, attempt, GrantAnswer::Denied(denial))];
        };
        let offer = GrantOffer {
            upstream,
            address: self.me.peer_address,
            fencing: FencingNumber::new(self.me.incarnation.get()),
            priority: Priority(0),
            predicted_ms: Millis::new(100),
            runner_up: None,
            cached_tokens: Tokens::ZERO,
            resume,
        };
        let expires_at = now + request.remaining_ms + Millis::new(2_000);
        let grant = Grant {
            offer: offer.clone(),
            expires_at,
        };
        self.grants.insert(attempt, grant);
        vec![self.reply(to, attempt, GrantAnswer::Granted(offer))]
    }

    fn cancel(&mut self, upstream: UpstreamId, attempt: AttemptId) -> Vec<Action> {
        let has_newer_grant = self.grants.iter().any(|(other, grant)| {
            other.request == attempt.request && grant.offer.upstream == upstream
        });
        if has_newer_grant {
            return Vec::new();
        }
        self.orders_count += 1;
        let token = CallToken::new(Component::Grant, self.orders_count);
        self.cancels.insert(token, (upstream.clone(), attempt));
        let order = Order {
            token,
            upstream,
            address: self.me.peer_address,
            fencing: FencingNumber::new(self.me.incarnation.get()),
            kind: OrderKind::Cancel {
                request: attempt.request,
            },
        };
        vec![Action::Order(Box::new(order))]
    }

    fn on_message(&mut self, now: Time, from: VmId, message: GrantMessage) -> Vec<Action> {
        match message {
            GrantMessage::Request(request) => self.on_request(now, from, *request),
            GrantMessage::Withdraw { attempt } => {
                self.queue.remove(&attempt);
                self.grants.remove(&attempt);
                Vec::new()
            }
            GrantMessage::Release {
                attempt,
                upstream,
                end,
            } => {
                self.grants.remove(&attempt);
                if end.needs_cancel {
                    self.cancel(upstream, attempt)
                } else {
                    Vec::new()
                }
            }
            _ => Vec::new(),
        }
    }

    fn on_tick(&mut self, now: Time) -> Vec<Action> {
        let due = self.queue.iter().filter(|(_, (at, _, _))| *at <= now);
        let due: Vec<AttemptId> = due.map(|(attempt, _)| *attempt).collect();
        let mut actions = Vec::new();
        for attempt in due {
            if let Some((_, to, request)) = self.queue.remove(&attempt) {
                actions.extend(self.grant(now, &to, &request));
            }
        }
        let failed = std::mem::take(&mut self.failed_cancels).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = failed.partition(|(at, _, _)| *at <= now);
        self.failed_cancels = later;
        for (_, upstream, attempt) in due {
            actions.extend(self.cancel(upstream, attempt));
        }
        let expired = self.grants.iter().filter(|(_, g)| g.expires_at <= now);
        let expired: Vec<AttemptId> = expired.map(|(attempt, _)| *attempt).collect();
        for attempt in expired {
            if let Some(grant) = self.grants.remove(&attempt) {
                actions.extend(self.cancel(grant.offer.upstream, attempt));
            }
        }
        actions
    }
}

impl Node for OwnerNode {
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now),
            Event::OrderAnswered { token, answer, .. } => {
                let cancel = self.cancels.remove(&token);
                if let (Some((upstream, attempt)), Err(_)) = (cancel, answer) {
                    let at = now + CANCEL_RETRY_MS;
                    self.failed_cancels.push((at, upstream, attempt));
                }
                Vec::new()
            }
            Event::Peer {
                from,
                message: PeerMessage::Grant(message),
                ..
            } => self.on_message(now, from, message),
            _ => Vec::new(),
        }
    }

    fn next_wakeup(&self) -> Option<Time> {
        let queued = self.queue.values().map(|(at, _, _)| *at);
        queued
            .chain(self.grants.values().map(|grant| grant.expires_at))
            .chain(self.failed_cancels.iter().map(|(at, _, _)| *at))
            .min()
    }

    fn open_requests(&self) -> u32 {
        0
    }

    fn oldest_overdue_ms(&self, _: Time) -> Millis {
        Millis::ZERO
    }
}
