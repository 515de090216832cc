//! The upstreams of one failure domain and their owners.

use super::{
    fencing::Fencing,
    rendezvous::{adopter, rendezvous},
    OwnershipChange, OwnershipSettings,
};
use crate::{
    config::Configuration,
    decision::Record,
    ids::{FailureDomain, FencingNumber, Generation, UpstreamId, VmId},
    membership::Membership,
    message::Member,
    platform::{CallToken, PlatformError, TableAnswer},
    units::{Millis, Time},
    Context,
};
use std::collections::{BTreeMap, BTreeSet};

/// Who owns which upstream of this daemon's failure domain, and of those that it adopted, and under
/// which fencing number.
#[derive(Debug)]
pub struct Ownership {
    settings: OwnershipSettings,
    me: Member,
    /// Sources of numbers, one a failure domain: the own one and those adopted.
    fencing: BTreeMap<FailureDomain, Fencing>,
    domains: BTreeMap<UpstreamId, FailureDomain>,
    /// Owning begins then: members are listened for before.
    begins: Option<Time>,
    assigned: BTreeMap<UpstreamId, VmId>,
    assigned_for: (Generation, Vec<Member>, Vec<FailureDomain>),
    owned: BTreeMap<UpstreamId, (FencingNumber, Time)>,
    outbid: BTreeSet<UpstreamId>,
    changes: Vec<OwnershipChange>,
}

impl Ownership {
    /// Owns nothing yet.
    pub fn new(settings: OwnershipSettings, me: Member) -> Self {
        Self {
            settings,
            fencing: BTreeMap::from([(me.domain.clone(), Fencing::new(&me.domain, &me))]),
            domains: BTreeMap::new(),
            me,
            begins: None,
            assigned: BTreeMap::new(),
            assigned_for: (Generation::default(), Vec::new(), Vec::new()),
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
        for (domain, wanted) in self.wanted(ctx.now) {
            let fencing = self.fencing.entry(domain.clone());
            let fencing = fencing.or_insert_with(|| Fencing::new(&domain, &self.me));
            fencing.keep_apart(&self.me, members.live_in(&self.me.domain));
            match fencing.take(ctx, &self.settings) {
                Some((number, first)) => self.gain(ctx, wanted, number, first, &domain),
                None => fencing.ask(ctx),
            }
        }
    }

    /// The store answered.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        for fencing in self.fencing.values_mut() {
            fencing.on_answer(ctx, &self.settings, token, answer.clone());
        }
    }

    /// Someone used this number for the upstream: a load report, a held grant, a refused order.
    pub fn on_fencing_seen(&mut self, upstream: &UpstreamId, number: FencingNumber) {
        let domain = self.domains.get(upstream).unwrap_or(&self.me.domain);
        if let Some(fencing) = self.fencing.get_mut(domain) {
            fencing.see(number);
        }
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
        let asked = self.fencing.values();
        let gives_up = asked.filter_map(|fencing| fencing.gives_up(&self.settings));
        let gives_up = gives_up.min();
        let missing = self.owned.len() < self.mine().count();
        let begins = self.begins.filter(|_| missing && gives_up.is_none());
        gives_up.or(begins)
    }

    fn assign(&mut self, members: &Membership, config: &Configuration) {
        let live = members.live_in(&self.me.domain);
        let all = config.domains.keys();
        let deserted: Vec<_> = all.filter(|d| members.has_no_daemons(d)).cloned().collect();
        let (generation, known, left) = &self.assigned_for;
        if *generation == config.generation && known == live && *left == deserted {
            return;
        }
        let kept = || config.domains.keys().filter(|d| !deserted.contains(d));
        let near = config.upstreams.iter().filter(|(id, upstream)| {
            let home = match deserted.contains(&upstream.domain) {
                true => adopter(id, kept()),
                false => Some(&upstream.domain),
            };
            home == Some(&self.me.domain)
        });
        let near: Vec<_> = near.collect();
        let owner = |id: &UpstreamId| Some((id.clone(), rendezvous(id, live)?.vm.clone()));
        self.assigned = near.iter().filter_map(|(id, _)| owner(id)).collect();
        let domains = near.iter().map(|(id, u)| ((*id).clone(), u.domain.clone()));
        self.domains = domains.collect();
        self.assigned_for = (config.generation, live.to_vec(), deserted);
    }

    fn mine(&self) -> impl Iterator<Item = &UpstreamId> {
        let mine = self.assigned.iter().filter(|(_, vm)| **vm == self.me.vm);
        mine.map(|(upstream, _)| upstream)
    }

    /// Upstreams to own that lack a number, or one above those seen from others.
    fn wanted(&self, now: Time) -> BTreeMap<FailureDomain, Vec<UpstreamId>> {
        let lacks = |upstream: &&UpstreamId| match self.owned.get(*upstream) {
            None => true,
            Some((_, since)) => {
                self.outbid.contains(*upstream) && *since + self.settings.lease() <= now
            }
        };
        let mut wanted = BTreeMap::<_, Vec<_>>::new();
        for upstream in self.mine().filter(lacks) {
            let domain = self.domains.get(upstream).unwrap_or(&self.me.domain);
            let entry = wanted.entry(domain.clone()).or_default();
            entry.push(upstream.clone());
        }
        wanted
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
        domain: &FailureDomain,
    ) {
        let (learning, reason) = match *domain == self.me.domain {
            true if first => (Millis::ZERO, "first owner, by rendezvous hashing"),
            true => (self.settings.lease(), "chosen by rendezvous hashing"),
            false => (
                self.settings.adopted_learning(),
                "its failure domain has no daemon",
            ),
        };
        let learning_until = ctx.now + learning;
        for upstream in wanted {
            self.owned.insert(upstream.clone(), (fencing, ctx.now));
            self.outbid.remove(&upstream);
            log(ctx, &upstream, true, fencing, reason);
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
