//! The upstreams of one failure domain and their owners.

use super::{fencing::Fencing, rendezvous, OwnershipChange, OwnershipSettings};
use crate::{
    config::Configuration,
    decision::Record,
    ids::{FencingNumber, Generation, UpstreamId, VmId},
    membership::Membership,
    message::Member,
    platform::{CallToken, PlatformError, TableAnswer},
    units::Time,
    Context,
};
use std::collections::{BTreeMap, BTreeSet};

/// Who owns which upstream of this daemon's failure domain, and under which fencing number.
#[derive(Debug)]
pub struct Ownership {
    settings: OwnershipSettings,
    me: Member,
    fencing: Fencing,
    /// Owning begins then: members are listened for before.
    begins: Option<Time>,
    assigned: BTreeMap<UpstreamId, VmId>,
    assigned_for: (Generation, Vec<Member>),
    owned: BTreeMap<UpstreamId, (FencingNumber, Time)>,
    outbid: BTreeSet<UpstreamId>,
    changes: Vec<OwnershipChange>,
}

impl Ownership {
    /// Owns nothing yet.
    pub fn new(settings: OwnershipSettings, me: Member) -> Self {
        Self {
            settings,
            fencing: Fencing::new(&me),
            me,
            begins: None,
            assigned: BTreeMap::new(),
            assigned_for: (Generation::default(), Vec::new()),
            owned: BTreeMap::new(),
            outbid: BTreeSet::new(),
            changes: Vec::new(),
        }
    }

    /// Follows the members and the configuration.
    pub fn refresh(&mut self, ctx: &mut Context<'_>, members: &Membership, config: &Configuration) {
        let window = self.settings.join_window();
        let begins = *self.begins.get_or_insert(ctx.now + window);
        self.assign(members, config);
        self.lose_others(ctx);
        if ctx.now < begins {
            return;
        }
        let wanted = self.wanted(ctx.now);
        if wanted.is_empty() {
            return;
        }
        match self.fencing.take(ctx, &self.settings) {
            Some((fencing, first)) => self.gain(ctx, wanted, fencing, first),
            None => self.fencing.ask(ctx),
        }
    }

    /// The store answered.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        self.fencing.on_answer(ctx, &self.settings, token, answer);
    }

    /// Someone used this number for the upstream: a load report, a held grant, a refused order.
    pub fn on_fencing_seen(&mut self, upstream: &UpstreamId, number: FencingNumber) {
        self.fencing.see(number);
        let own = self.owned.get(upstream);
        if own.is_some_and(|(own, _)| *own < number) {
            self.outbid.insert(upstream.clone());
        }
    }

    /// The process was paused: all leases lapsed, so owning begins anew.
    pub fn on_paused(&mut self, ctx: &mut Context<'_>) {
        self.begins = Some(ctx.now + self.settings.join_window());
        let all: Vec<_> = self.owned.keys().cloned().collect();
        for upstream in all {
            self.lose(ctx, &upstream, "this process was paused");
        }
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// The owner of an upstream, as far as this daemon knows.
    pub fn owner_of(&self, upstream: &UpstreamId) -> Option<&VmId> {
        self.assigned.get(upstream)
    }

    /// The fencing number under which this daemon owns an upstream.
    pub fn fencing_of(&self, upstream: &UpstreamId) -> Option<FencingNumber> {
        self.owned.get(upstream).map(|(number, _)| *number)
    }

    /// The upstreams that this daemon owns.
    pub fn owned(&self) -> impl Iterator<Item = &UpstreamId> {
        self.owned.keys()
    }

    /// When `refresh` is due without any other event.
    pub fn next_wakeup(&self) -> Option<Time> {
        let gives_up = self.fencing.gives_up(&self.settings);
        let missing = self.owned.len() < self.mine().count();
        let begins = self.begins.filter(|_| missing && gives_up.is_none());
        gives_up.or(begins)
    }

    fn assign(&mut self, members: &Membership, config: &Configuration) {
        let live = members.live_in(&self.me.domain);
        let (generation, known) = &self.assigned_for;
        if *generation == config.generation && known == live {
            return;
        }
        let near = config.upstreams.iter();
        let near = near.filter(|(_, upstream)| upstream.domain == self.me.domain);
        let owners = near.filter_map(|(id, _)| {
            let owner = rendezvous(id, live)?;
            Some((id.clone(), owner.vm.clone()))
        });
        self.assigned = owners.collect();
        self.assigned_for = (config.generation, live.to_vec());
    }

    fn mine(&self) -> impl Iterator<Item = &UpstreamId> {
        let mine = self.assigned.iter().filter(|(_, vm)| **vm == self.me.vm);
        mine.map(|(upstream, _)| upstream)
    }

    /// Upstreams to own that lack a number, or one above those seen from others.
    fn wanted(&self, now: Time) -> Vec<UpstreamId> {
        let lacks = |upstream: &&UpstreamId| match self.owned.get(*upstream) {
            None => true,
            Some((_, since)) => {
                self.outbid.contains(*upstream) && *since + self.settings.lease() <= now
            }
        };
        self.mine().filter(lacks).cloned().collect()
    }

    fn lose_others(&mut self, ctx: &mut Context<'_>) {
        let mine: BTreeSet<_> = self.mine().cloned().collect();
        let lost = self
            .owned
            .keys()
            .filter(|upstream| !mine.contains(*upstream));
        let lost: Vec<_> = lost.cloned().collect();
        for upstream in lost {
            self.lose(ctx, &upstream, "another daemon owns it now");
        }
    }

    fn lose(&mut self, ctx: &mut Context<'_>, upstream: &UpstreamId, reason: &str) {
        let Some((fencing, _)) = self.owned.remove(upstream) else {
            return;
        };
        self.outbid.remove(upstream);
        self.changes.push(OwnershipChange::Lost {
            upstream: upstream.clone(),
        });
        log(ctx, upstream, false, fencing, reason);
    }

    fn gain(
        &mut self,
        ctx: &mut Context<'_>,
        wanted: Vec<UpstreamId>,
        fencing: FencingNumber,
        first: bool,
    ) {
        let learning_until = match first {
            true => ctx.now,
            false => ctx.now + self.settings.lease(),
        };
        for upstream in wanted {
            self.owned.insert(upstream.clone(), (fencing, ctx.now));
            self.outbid.remove(&upstream);
            log(
                ctx,
                &upstream,
                true,
                fencing,
                "chosen by rendezvous hashing",
            );
            self.changes.push(OwnershipChange::Gained {
                upstream,
                fencing,
                learning_until,
            });
        }
    }
}

fn log(
    ctx: &mut Context<'_>,
    upstream: &UpstreamId,
    owned: bool,
    fencing: FencingNumber,
    reason: &str,
) {
    ctx.log(Record::Ownership {
        upstream: upstream.clone(),
        owned,
        fencing,
        reason: reason.into(),
    });
}
