//! One daemon's copy of the configuration, kept fresh from the platform's store and from peers.

use super::{
    history::History,
    poll::Pace,
    rows::{read_head, record_key, snapshot_key, HEAD, RECORDS},
    ChangeRecord, ConfigSettings, Configuration,
};
use crate::{
    decision::Record,
    ids::{Generation, VmId},
    message::{ConfigMessage, Member, PeerMessage},
    platform::{CallToken, ObjectOp, Part, PlatformError, TableAnswer, TableOp},
    units::{Millis, Time},
    Action, Context, Directory, View,
};
use bytes::Bytes;
use std::{collections::BTreeMap, sync::Arc};

/// Most change records read or sent at a time.
const BATCH_LEN: u32 = 64;

/// Least time between two pulls from peers.
const PULL_GAP: Millis = Millis::new(200);

/// What is awaited from the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Head,
    Records { head: Generation },
    Snapshot { head: Generation },
}

/// One daemon's copy of the configuration.
#[derive(Debug)]
pub struct ConfigStore {
    settings: ConfigSettings,
    history: History,
    pace: Pace,
    awaited: Option<(CallToken, Call, Time)>,
    heard: BTreeMap<VmId, Generation>,
    next_pull: Time,
    store_behind: bool,
    no_snapshot: bool,
}

impl ConfigStore {
    /// Knows no configuration yet.
    pub fn new(settings: ConfigSettings) -> Self {
        Self {
            settings,
            history: History::default(),
            pace: Pace::default(),
            awaited: None,
            heard: BTreeMap::new(),
            next_pull: Time::START,
            store_behind: false,
            no_snapshot: false,
        }
    }

    /// Looks at the head when due, if this daemon is one of those that poll.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, me: &Member, directory: &dyn Directory) {
        if let Some((_, _, since)) = self.awaited {
            if since + self.settings.call_timeout() > ctx.now {
                return;
            }
            self.awaited = None;
            self.pace.fail(ctx, &self.settings);
        }
        self.pace.start(ctx, &self.settings);
        if ctx.now < self.pace.due() {
            return;
        }
        match self.polls(me, directory) {
            true => self.table(ctx, Call::Head, TableOp::Get { key: HEAD.into() }),
            false => self.pace.postpone(ctx.now, &self.settings),
        }
    }

    /// The platform answered.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        me: &Member,
        directory: &dyn Directory,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        let Some((_, call, _)) = self.awaited.take_if(|(asked, _, _)| *asked == token) else {
            return;
        };
        let before = self.history.generation();
        match (call, answer) {
            (_, Err(_)) => return self.pace.fail(ctx, &self.settings),
            (Call::Head, Ok(TableAnswer::Value(value))) => self.on_head(ctx, value),
            (Call::Records { head }, Ok(TableAnswer::Rows(rows))) => self.on_rows(ctx, head, rows),
            (Call::Snapshot { head }, Ok(TableAnswer::Value(value))) => {
                self.on_snapshot(ctx, head, value);
            }
            _ => self.pace.succeed(ctx, &self.settings),
        }
        if self.history.generation() > before {
            self.keep_snapshot(ctx, before);
            self.push(ctx, me, directory, before, true);
        }
    }

    /// A plan was confirmed here: its record needs no poll.
    pub fn on_committed(&mut self, ctx: &mut Context<'_>, view: &View<'_>, record: ChangeRecord) {
        let before = self.history.generation();
        if self
            .history
            .apply(ctx, &self.settings, vec![record], "confirmed here")
        {
            self.keep_snapshot(ctx, before);
            self.push(ctx, view.me, view.directory, before, true);
        } else {
            self.pace.hurry(ctx.now);
        }
    }

    /// A peer sent records or a snapshot, or asks for them.
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
            ConfigMessage::Pull { after } => return self.answer(ctx, from, after),
            ConfigMessage::Snapshot(whole) => {
                let generation = whole.generation;
                self.history.adopt(ctx, *whole, &source);
                generation
            }
            ConfigMessage::Records(records) => {
                let last = records.last().map(|record| record.generation);
                self.history.apply(ctx, &self.settings, records, &source);
                last.unwrap_or_default()
            }
        };
        if self.history.generation() > before {
            let far = from.domain != view.me.domain;
            if far {
                self.push(ctx, view.me, view.directory, before, false);
            }
        }
        self.on_peer_generation(ctx, view, from, last);
    }

    /// A peer applies this generation: a higher one is pulled from it.
    pub fn on_peer_generation(
        &mut self,
        ctx: &mut Context<'_>,
        _: &View<'_>,
        from: &Member,
        generation: Generation,
    ) {
        let heard = self.heard.entry(from.vm.clone()).or_default();
        *heard = generation.max(*heard);
        if generation > self.history.generation() && ctx.now >= self.next_pull {
            self.next_pull = ctx.now + PULL_GAP;
            let after = self.history.generation();
            send(ctx, from, ConfigMessage::Pull { after });
        }
    }

    /// The configuration in force: generation 0 and empty until one is known.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.history.current
    }

    /// The generations applied since the last call.
    pub fn take_applied(&mut self) -> Vec<Generation> {
        self.history.take_applied()
    }

    /// The newest change records.
    pub fn history(&self) -> &[ChangeRecord] {
        &self.history.records
    }

    /// Whether the platform's store answered last time.
    pub fn store_reachable(&self) -> bool {
        self.pace.reachable()
    }

    /// When `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        Some(match &self.awaited {
            Some((_, _, since)) => *since + self.settings.call_timeout(),
            None => self.pace.due(),
        })
    }

    /// The first live daemons of a failure domain poll; so does one that knows nothing and nobody.
    fn polls(&self, me: &Member, directory: &dyn Directory) -> bool {
        let live = directory.live_in(&me.domain);
        let rank = live.iter().position(|member| member.vm == me.vm);
        live.len() <= 1 || rank.is_some_and(|rank| rank < self.settings.pollers())
    }

    fn on_head(&mut self, ctx: &mut Context<'_>, value: Option<Bytes>) {
        let own = self.history.generation();
        let head = read_head(value.as_deref()).unwrap_or_default();
        if head < own && !self.store_behind {
            ctx.log(Record::Alarm {
                name: "store_behind",
                message: format!(
                    "the store's head is generation {head}, below {own} in force here: \
                     restore the table service from a newer copy"
                ),
            });
        }
        self.store_behind = head < own;
        if head <= own {
            return self.pace.succeed(ctx, &self.settings);
        }
        let every = self.settings.snapshot_every();
        let snapshot = Generation::new(head.get() / every * every);
        if snapshot.get() > own.get() + every && !self.no_snapshot {
            let key = snapshot_key(snapshot);
            let token = self.expect(ctx, Call::Snapshot { head });
            return ctx.act(Action::Object {
                token,
                op: ObjectOp::Get { key },
            });
        }
        self.read_records(ctx, head);
    }

    fn on_rows(&mut self, ctx: &mut Context<'_>, head: Generation, rows: Vec<(String, Bytes)>) {
        let parse = |(_, raw): &(String, Bytes)| serde_json::from_slice(raw).ok();
        let records = rows.iter().map_while(parse).collect();
        let rose = self.history.apply(ctx, &self.settings, records, "store");
        match rose && self.history.generation() < head {
            true => self.read_records(ctx, head),
            false => self.pace.succeed(ctx, &self.settings),
        }
    }

    fn on_snapshot(&mut self, ctx: &mut Context<'_>, head: Generation, value: Option<Bytes>) {
        let parsed = value.and_then(|raw| serde_json::from_slice(&raw).ok());
        self.no_snapshot = parsed.is_none();
        if let Some(whole) = parsed {
            self.history.adopt(ctx, whole, "snapshot");
        }
        self.read_records(ctx, head);
    }

    fn read_records(&mut self, ctx: &mut Context<'_>, head: Generation) {
        let op = TableOp::Scan {
            prefix: RECORDS.into(),
            after: Some(record_key(self.history.generation())),
            limit_len: BATCH_LEN,
        };
        self.table(ctx, Call::Records { head }, op);
    }

    /// Writes a snapshot when one is due.
    fn keep_snapshot(&mut self, ctx: &mut Context<'_>, before: Generation) {
        let every = self.settings.snapshot_every();
        let now = self.history.generation();
        if now.get() % every != 0 || now == before {
            return;
        }
        let Ok(value) = serde_json::to_vec(&*self.history.current) else {
            return;
        };
        let token = ctx.token(Part::Config);
        ctx.act(Action::Object {
            token,
            op: ObjectOp::Put {
                key: snapshot_key(now),
                value: value.into(),
            },
        });
    }

    /// Sends what is new to the peers that are not known to have it: the own failure domain, and
    /// a few daemons of each other one.
    fn push(
        &mut self,
        ctx: &mut Context<'_>,
        me: &Member,
        directory: &dyn Directory,
        after: Generation,
        abroad: bool,
    ) {
        let now = self.history.generation();
        let config = self.history.current.clone();
        for domain in config.domains.keys() {
            let near = *domain == me.domain;
            let limit = match near {
                true => usize::MAX,
                false if abroad => self.settings.pollers(),
                false => 0,
            };
            for peer in directory.live_in(domain).iter().take(limit) {
                let heard = self.heard.get(&peer.vm).copied().unwrap_or_default();
                if peer.vm != me.vm && heard < now {
                    self.answer(ctx, peer, heard.max(after));
                }
            }
        }
    }

    fn answer(&mut self, ctx: &mut Context<'_>, to: &Member, after: Generation) {
        if self.history.generation() <= after {
            return;
        }
        let message = match self.history.after(after) {
            Some(records) if records.len() <= BATCH_LEN as usize => ConfigMessage::Records(records),
            _ => ConfigMessage::Snapshot(Box::new((*self.history.current).clone())),
        };
        send(ctx, to, message);
    }

    fn table(&mut self, ctx: &mut Context<'_>, call: Call, op: TableOp) {
        let token = self.expect(ctx, call);
        ctx.act(Action::Table { token, op });
    }

    fn expect(&mut self, ctx: &mut Context<'_>, call: Call) -> CallToken {
        let token = ctx.token(Part::Config);
        self.awaited = Some((token, call, ctx.now));
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
