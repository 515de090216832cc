//! A daemon's replica of the configuration, updated from the platform's store and from peers.

use super::{
    history::History,
    poll_schedule::PollSchedule,
    rows::{read_head, record_key, snapshot_key, HEAD, RECORDS},
    ChangeRecord, ConfigSettings, Configuration,
};
use crate::{
    decision::Record,
    ids::{Generation, VmId},
    message::{ConfigMessage, Member, PeerMessage},
    platform::{CallToken, Component, ObjectOp, PlatformError, TableAnswer, TableOp},
    units::{Millis, Time},
    Action, Context, Directory, View,
};
use bytes::Bytes;
use std::{collections::BTreeMap, sync::Arc};

/// Maximum number of change records per scan and per message.
const BATCH_LEN: u32 = 64;

/// Minimum time between two pull requests to peers.
const PULL_GAP: Millis = Millis::new(200);

/// The kind of a pending call to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreCall {
    Head,
    Records { head: Generation },
    Snapshot { head: Generation },
}

/// A daemon's replica of the configuration.
#[derive(Debug)]
pub struct ConfigStore {
    settings: ConfigSettings,
    history: History,
    poll_schedule: PollSchedule,
    /// The pending call and the time when it was sent.
    pending_call: Option<(CallToken, StoreCall, Time)>,
    /// Highest generation that each peer is known to apply.
    peer_generations: BTreeMap<VmId, Generation>,
    /// Earliest time of the next pull request to a peer.
    next_pull_at: Time,
    /// Whether the store's head is below the local generation; the alarm is raised once.
    store_behind: bool,
    /// Whether a snapshot was found absent or malformed; from then on only records are read.
    snapshot_unavailable: bool,
}

impl ConfigStore {
    /// Creates a store without a configuration.
    pub fn new(settings: ConfigSettings) -> Self {
        Self {
            settings,
            history: History::default(),
            poll_schedule: PollSchedule::default(),
            pending_call: None,
            peer_generations: BTreeMap::new(),
            next_pull_at: Time::START,
            store_behind: false,
            snapshot_unavailable: false,
        }
    }

    /// Times out a pending call, and reads the head if a poll is due and this daemon is a poller.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, me: &Member, directory: &dyn Directory) {
        if let Some((_, _, since)) = self.pending_call {
            if since + self.settings.call_timeout() > ctx.now {
                return;
            }
            self.pending_call = None;
            self.poll_schedule.record_failure(ctx, &self.settings);
        }
        self.poll_schedule.start(ctx, &self.settings);
        if ctx.now < self.poll_schedule.due() {
            return;
        }
        match self.is_poller(me, directory) {
            true => self.call_table(ctx, StoreCall::Head, TableOp::Get { key: HEAD.into() }),
            false => self.poll_schedule.skip(ctx.now, &self.settings),
        }
    }

    /// Handles the answer to a call to the store.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        me: &Member,
        directory: &dyn Directory,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        let Some((_, call, _)) = self.pending_call.take_if(|(asked, _, _)| *asked == token) else {
            return;
        };
        let before = self.history.generation();
        match (call, answer) {
            (_, Err(_)) => return self.poll_schedule.record_failure(ctx, &self.settings),
            (StoreCall::Head, Ok(TableAnswer::Value(value))) => self.on_head(ctx, value),
            (StoreCall::Records { head }, Ok(TableAnswer::Rows(rows))) => {
                self.on_records(ctx, head, rows)
            }
            (StoreCall::Snapshot { head }, Ok(TableAnswer::Value(value))) => {
                self.on_snapshot(ctx, head, value);
            }
            _ => self.poll_schedule.record_success(ctx, &self.settings),
        }
        if self.history.generation() > before {
            self.write_snapshot_if_due(ctx, before);
            self.push_to_peers(ctx, me, directory, before, true);
        }
    }

    /// Applies the record of a plan that this daemon confirmed, without waiting for the next poll.
    pub fn on_committed(&mut self, ctx: &mut Context<'_>, view: &View<'_>, record: ChangeRecord) {
        let before = self.history.generation();
        if self
            .history
            .apply(ctx, &self.settings, vec![record], "confirmed here")
        {
            self.write_snapshot_if_due(ctx, before);
            self.push_to_peers(ctx, view.me, view.directory, before, true);
        } else {
            self.poll_schedule.poll_now(ctx.now);
        }
    }

    /// Handles change records, a snapshot or a pull request from a peer.
    pub fn on_message(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        from: &Member,
        message: ConfigMessage,
    ) {
        let before = self.history.generation();
        let source = from.vm.to_string();
        let last = match message {
            ConfigMessage::Pull { after } => return self.send_missing(ctx, from, after),
            ConfigMessage::Snapshot(snapshot) => {
                let generation = snapshot.generation;
                self.history.install_snapshot(ctx, *snapshot, &source);
                generation
            }
            ConfigMessage::Records(records) => {
                let last = records.last().map(|record| record.generation);
                self.history.apply(ctx, &self.settings, records, &source);
                last.unwrap_or_default()
            }
        };
        if self.history.generation() > before {
            let cross_domain = from.domain != view.me.domain;
            if cross_domain {
                self.push_to_peers(ctx, view.me, view.directory, before, false);
            }
        }
        self.on_peer_generation(ctx, view, from, last);
    }

    /// Notes the generation that a peer applies, and pulls from the peer if the generation is
    /// higher than the local one.
    pub fn on_peer_generation(
        &mut self,
        ctx: &mut Context<'_>,
        _: &View<'_>,
        from: &Member,
        generation: Generation,
    ) {
        let peer_generation = self.peer_generations.entry(from.vm.clone()).or_default();
        *peer_generation = generation.max(*peer_generation);
        if generation > self.history.generation() && ctx.now >= self.next_pull_at {
            self.next_pull_at = ctx.now + PULL_GAP;
            let after = self.history.generation();
            send(ctx, from, ConfigMessage::Pull { after });
        }
    }

    /// Returns the configuration in force; empty with generation 0 until one is known.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.history.current
    }

    /// Returns the generations applied since the last call of this method.
    pub fn take_applied(&mut self) -> Vec<Generation> {
        self.history.take_applied()
    }

    /// Returns the retained change records, oldest first.
    pub fn history(&self) -> &[ChangeRecord] {
        &self.history.records
    }

    /// Reports whether the platform's store answered the last call.
    pub fn store_reachable(&self) -> bool {
        self.poll_schedule.reachable()
    }

    /// Returns the time at which `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        Some(match &self.pending_call {
            Some((_, _, since)) => *since + self.settings.call_timeout(),
            None => self.poll_schedule.due(),
        })
    }

    /// Reports whether this daemon polls the store: the first live members of each failure domain
    /// do, and so does a daemon that knows at most one live member of its domain.
    fn is_poller(&self, me: &Member, directory: &dyn Directory) -> bool {
        let live = directory.live_in(&me.domain);
        let rank = live.iter().position(|member| member.vm == me.vm);
        live.len() <= 1 || rank.is_some_and(|rank| rank < self.settings.pollers_per_domain())
    }

    fn on_head(&mut self, ctx: &mut Context<'_>, value: Option<Bytes>) {
        let own = self.history.generation();
        let head = read_head(value.as_deref()).unwrap_or_default();
        if head < own && !self.store_behind {
            ctx.log(Record::Alarm {
                name: "store_behind",
                message: format!(
                    "the store's head is generation {head}, older than generation {own} in force on \
                     this daemon: restore the table service from a newer copy"
                ),
            });
        }
        self.store_behind = head < own;
        if head <= own {
            return self.poll_schedule.record_success(ctx, &self.settings);
        }
        let every = self.settings.snapshot_interval();
        let snapshot_generation = Generation::new(head.get() / every * every);
        if snapshot_generation.get() > own.get() + every && !self.snapshot_unavailable {
            let key = snapshot_key(snapshot_generation);
            let token = self.register_call(ctx, StoreCall::Snapshot { head });
            return ctx.act(Action::Object {
                token,
                op: ObjectOp::Get { key },
            });
        }
        self.read_records(ctx, head);
    }

    fn on_records(&mut self, ctx: &mut Context<'_>, head: Generation, rows: Vec<(String, Bytes)>) {
        let parse = |(_, raw): &(String, Bytes)| serde_json::from_slice(raw).ok();
        let records = rows.iter().map_while(parse).collect();
        let advanced = self.history.apply(ctx, &self.settings, records, "store");
        match advanced && self.history.generation() < head {
            true => self.read_records(ctx, head),
            false => self.poll_schedule.record_success(ctx, &self.settings),
        }
    }

    fn on_snapshot(&mut self, ctx: &mut Context<'_>, head: Generation, value: Option<Bytes>) {
        let parsed = value.and_then(|raw| serde_json::from_slice(&raw).ok());
        self.snapshot_unavailable = parsed.is_none();
        if let Some(snapshot) = parsed {
            self.history.install_snapshot(ctx, snapshot, "snapshot");
        }
        self.read_records(ctx, head);
    }

    fn read_records(&mut self, ctx: &mut Context<'_>, head: Generation) {
        let op = TableOp::Scan {
            prefix: RECORDS.into(),
            after: Some(record_key(self.history.generation())),
            limit_len: BATCH_LEN,
        };
        self.call_table(ctx, StoreCall::Records { head }, op);
    }

    /// Writes a snapshot if the current generation is a multiple of the snapshot interval.
    fn write_snapshot_if_due(&mut self, ctx: &mut Context<'_>, before: Generation) {
        let every = self.settings.snapshot_interval();
        let now = self.history.generation();
        if now.get() % every != 0 || now == before {
            return;
        }
        let Ok(value) = serde_json::to_vec(&*self.history.current) else {
            return;
        };
        let token = ctx.token(Component::Config);
        ctx.act(Action::Object {
            token,
            op: ObjectOp::Put {
                key: snapshot_key(now),
                value: value.into(),
            },
        });
    }

    /// Sends newer records to the peers that are not known to have them: all members of this
    /// failure domain and, with `include_other_domains`, a few members of each other domain.
    fn push_to_peers(
        &mut self,
        ctx: &mut Context<'_>,
        me: &Member,
        directory: &dyn Directory,
        after: Generation,
        include_other_domains: bool,
    ) {
        let now = self.history.generation();
        let config = self.history.current.clone();
        for domain in config.domains.keys() {
            let same_domain = *domain == me.domain;
            let limit = match same_domain {
                true => usize::MAX,
                false if include_other_domains => self.settings.pollers_per_domain(),
                false => 0,
            };
            for peer in directory.live_in(domain).iter().take(limit) {
                let peer_generation = self
                    .peer_generations
                    .get(&peer.vm)
                    .copied()
                    .unwrap_or_default();
                if peer.vm != me.vm && peer_generation < now {
                    self.send_missing(ctx, peer, peer_generation.max(after));
                }
            }
        }
    }

    fn send_missing(&mut self, ctx: &mut Context<'_>, to: &Member, after: Generation) {
        if self.history.generation() <= after {
            return;
        }
        let message = match self.history.records_after(after) {
            Some(records) if records.len() <= BATCH_LEN as usize => ConfigMessage::Records(records),
            _ => ConfigMessage::Snapshot(Box::new((*self.history.current).clone())),
        };
        send(ctx, to, message);
    }

    fn call_table(&mut self, ctx: &mut Context<'_>, call: StoreCall, op: TableOp) {
        let token = self.register_call(ctx, call);
        ctx.act(Action::Table { token, op });
    }

    fn register_call(&mut self, ctx: &mut Context<'_>, call: StoreCall) -> CallToken {
        let token = ctx.token(Component::Config);
        self.pending_call = Some((token, call, ctx.now));
        token
    }
}

fn send(ctx: &mut Context<'_>, to: &Member, message: ConfigMessage) {
    ctx.act(Action::SendPeer {
        to: to.vm.clone(),
        address: to.peer_address,
        message: PeerMessage::Config(message),
    });
}
