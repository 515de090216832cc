//! The upstreams that the daemons of one failure domain own, and their owners.

use super::{
    fencing_source::FencingSource,
    rendezvous::{adopting_domain, rendezvous_owner},
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

/// The owners of the upstreams in this daemon's failure domain and in adopted ones, and the fencing
/// numbers of those that this daemon owns. A failure domain without daemons is adopted by others.
#[derive(Debug)]
pub struct Ownership {
    settings: OwnershipSettings,
    me: Member,
    /// Sources of fencing numbers per failure domain: this one and the adopted ones.
    fencing_sources: BTreeMap<FailureDomain, FencingSource>,
    /// Failure domain of each assigned upstream.
    domains: BTreeMap<UpstreamId, FailureDomain>,
    /// Time from which this daemon may own upstreams; until then it listens for other members.
    starts_at: Option<Time>,
    /// Owner of each upstream of the domains that this failure domain serves.
    assigned: BTreeMap<UpstreamId, VmId>,
    /// Inputs of `assigned`: generation, live members and failure domains without daemons.
    assigned_for: (Generation, Vec<Member>, Vec<FailureDomain>),
    /// Upstreams owned by this daemon, with the fencing number and the time of acquisition.
    owned: BTreeMap<UpstreamId, (FencingNumber, Time)>,
    /// Owned upstreams for which another daemon used a higher fencing number.
    superseded: BTreeSet<UpstreamId>,
    changes: Vec<OwnershipChange>,
}

impl Ownership {
    /// Creates an instance that owns no upstreams.
    pub fn new(settings: OwnershipSettings, me: Member) -> Self {
        Self {
            settings,
            fencing_sources: BTreeMap::from([(
                me.domain.clone(),
                FencingSource::new(&me.domain, &me),
            )]),
            domains: BTreeMap::new(),
            me,
            starts_at: None,
            assigned: BTreeMap::new(),
            assigned_for: (Generation::default(), Vec::new(), Vec::new()),
            owned: BTreeMap::new(),
            superseded: BTreeSet::new(),
            changes: Vec::new(),
        }
    }

    /// Updates the assignment for the current members and configuration, gives up upstreams
    /// assigned to other daemons and takes over those assigned to this one.
    pub fn refresh(&mut self, ctx: &mut Context<'_>, members: &Membership, config: &Configuration) {
        let window = self.settings.join_window();
        let starts_at = *self.starts_at.get_or_insert(ctx.now + window);
        self.assign(members, config);
        self.release_reassigned(ctx);
        if ctx.now < starts_at {
            return;
        }
        for (domain, to_acquire) in self.to_acquire(ctx.now) {
            let source = self.fencing_sources.entry(domain.clone());
            let source = source.or_insert_with(|| FencingSource::new(&domain, &self.me));
            source.avoid_collisions(&self.me, members.live_in(&self.me.domain));
            match source.take(ctx, &self.settings) {
                Some((number, first)) => self.acquire(ctx, to_acquire, number, first, &domain),
                None => source.request_epoch(ctx),
            }
        }
    }

    /// Handles the answer to a call to the store.
    pub fn on_platform(
        &mut self,
        ctx: &mut Context<'_>,
        token: CallToken,
        answer: Result<TableAnswer, PlatformError>,
    ) {
        for source in self.fencing_sources.values_mut() {
            source.on_answer(ctx, &self.settings, token, answer.clone());
        }
    }

    /// Records a fencing number that was used for an upstream, as seen in a load report, a held
    /// grant or a refused order. If the number is higher than this daemon's, ownership is renewed
    /// with a higher one.
    pub fn on_fencing_seen(&mut self, upstream: &UpstreamId, number: FencingNumber) {
        let domain = self.domains.get(upstream).unwrap_or(&self.me.domain);
        if let Some(source) = self.fencing_sources.get_mut(domain) {
            source.observe(number);
        }
        let own = self.owned.get(upstream);
        if own.is_some_and(|(own, _)| *own < number) {
            self.superseded.insert(upstream.clone());
        }
    }

    /// Handles a pause of this process: all leases have expired, so all upstreams are given up and
    /// the join window starts again.
    pub fn on_paused(&mut self, ctx: &mut Context<'_>) {
        self.starts_at = Some(ctx.now + self.settings.join_window());
        let all: Vec<_> = self.owned.keys().cloned().collect();
        for upstream in all {
            self.release(ctx, &upstream, "this process was paused");
        }
    }

    /// Returns the ownership changes since the last call of this method.
    pub fn take_changes(&mut self) -> Vec<OwnershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the owner of an upstream according to this daemon's view of the members.
    pub fn owner_of(&self, upstream: &UpstreamId) -> Option<&VmId> {
        self.assigned.get(upstream)
    }

    /// Returns the fencing number under which this daemon owns an upstream.
    pub fn fencing_of(&self, upstream: &UpstreamId) -> Option<FencingNumber> {
        self.owned.get(upstream).map(|(number, _)| *number)
    }

    /// Returns the upstreams that this daemon owns.
    pub fn owned(&self) -> impl Iterator<Item = &UpstreamId> {
        self.owned.keys()
    }

    /// Returns the time at which `refresh` is due if no other event occurs.
    pub fn next_wakeup(&self) -> Option<Time> {
        let sources = self.fencing_sources.values();
        let store_deadline = sources.filter_map(|source| source.store_deadline(&self.settings));
        let store_deadline = store_deadline.min();
        let missing = self.owned.len() < self.assigned_to_me().count();
        let starts_at = self
            .starts_at
            .filter(|_| missing && store_deadline.is_none());
        store_deadline.or(starts_at)
    }

    fn assign(&mut self, members: &Membership, config: &Configuration) {
        let live = members.live_in(&self.me.domain);
        let all = config.domains.keys();
        let daemonless: Vec<_> = all.filter(|d| members.has_no_daemons(d)).cloned().collect();
        let (generation, known, unserved) = &self.assigned_for;
        if *generation == config.generation && known == live && *unserved == daemonless {
            return;
        }
        let remaining_domains = || config.domains.keys().filter(|d| !daemonless.contains(d));
        let adopted_or_local = config.upstreams.iter().filter(|(id, upstream)| {
            let serving_domain = match daemonless.contains(&upstream.domain) {
                true => adopting_domain(id, remaining_domains()),
                false => Some(&upstream.domain),
            };
            serving_domain == Some(&self.me.domain)
        });
        let adopted_or_local: Vec<_> = adopted_or_local.collect();
        let owner = |id: &UpstreamId| Some((id.clone(), rendezvous_owner(id, live)?.vm.clone()));
        self.assigned = adopted_or_local
            .iter()
            .filter_map(|(id, _)| owner(id))
            .collect();
        let domains = adopted_or_local
            .iter()
            .map(|(id, u)| ((*id).clone(), u.domain.clone()));
        self.domains = domains.collect();
        self.assigned_for = (config.generation, live.to_vec(), daemonless);
    }

    fn assigned_to_me(&self) -> impl Iterator<Item = &UpstreamId> {
        let assigned_to_me = self.assigned.iter().filter(|(_, vm)| **vm == self.me.vm);
        assigned_to_me.map(|(upstream, _)| upstream)
    }

    /// Returns the upstreams assigned to this daemon that need a fencing number, by failure domain:
    /// they have none, or one that has been superseded and is older than a lease.
    fn to_acquire(&self, now: Time) -> BTreeMap<FailureDomain, Vec<UpstreamId>> {
        let needs_number = |upstream: &&UpstreamId| match self.owned.get(*upstream) {
            None => true,
            Some((_, since)) => {
                self.superseded.contains(*upstream) && *since + self.settings.lease() <= now
            }
        };
        let mut to_acquire = BTreeMap::<_, Vec<_>>::new();
        for upstream in self.assigned_to_me().filter(needs_number) {
            let domain = self.domains.get(upstream).unwrap_or(&self.me.domain);
            let entry = to_acquire.entry(domain.clone()).or_default();
            entry.push(upstream.clone());
        }
        to_acquire
    }

    fn release_reassigned(&mut self, ctx: &mut Context<'_>) {
        let assigned_to_me: BTreeSet<_> = self.assigned_to_me().cloned().collect();
        let lost = self
            .owned
            .keys()
            .filter(|upstream| !assigned_to_me.contains(*upstream));
        let lost: Vec<_> = lost.cloned().collect();
        for upstream in lost {
            self.release(ctx, &upstream, "another daemon owns it now");
        }
    }

    fn release(&mut self, ctx: &mut Context<'_>, upstream: &UpstreamId, reason: &str) {
        let Some((fencing, _)) = self.owned.remove(upstream) else {
            return;
        };
        self.superseded.remove(upstream);
        self.changes.push(OwnershipChange::Lost {
            upstream: upstream.clone(),
        });
        log(ctx, upstream, false, fencing, reason);
    }

    fn acquire(
        &mut self,
        ctx: &mut Context<'_>,
        to_acquire: Vec<UpstreamId>,
        fencing: FencingNumber,
        first: bool,
        domain: &FailureDomain,
    ) {
        let (learning, reason) = match *domain == self.me.domain {
            true if first => (Millis::ZERO, "first owner, by rendezvous hashing"),
            true => (self.settings.lease(), "chosen by rendezvous hashing"),
            false => (
                self.settings.adopted_learning_period(),
                "its failure domain has no daemon",
            ),
        };
        let learning_until = ctx.now + learning;
        for upstream in to_acquire {
            self.owned.insert(upstream.clone(), (fencing, ctx.now));
            self.superseded.remove(&upstream);
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
