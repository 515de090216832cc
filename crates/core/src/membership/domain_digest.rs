//! Builds and applies digests: what members of a failure domain report to each other about it.

use super::{summary_codec, LocalState, MemberChange, Membership};
use crate::{
    ids::{Generation, VmId},
    message::{DomainDigest, Heartbeat, Member},
    units::{Millis, Time},
    Context,
};
use bytes::Bytes;

/// Resolution of an encoded age.
const AGE_STEP_MS: u64 = 20;

/// Encoded age that is unknown or out of range.
const AGE_UNKNOWN: u8 = 127;

/// Flag of members that apply at least the sender's generation.
const APPLIES_FLAG: u8 = 128;

impl Membership {
    /// Builds the digest for a member of this failure domain.
    pub(super) fn digest_for(
        &self,
        now: Time,
        to: &VmId,
        local: &LocalState,
        round_index: Option<u64>,
    ) -> DomainDigest {
        let members = self.gossip_ring.members();
        let ages = members.iter().map(|member| self.encode_age(now, member));
        let known_list_id = self.peers.get(to).and_then(|peer| peer.list_id);
        let names = match known_list_id == Some(self.gossip_ring.list_id) {
            true => Vec::new(),
            false => members.to_vec(),
        };
        let positions = || (0..).zip(members);
        let dissemination =
            round_index.and_then(|index| self.gossip_ring.summary_dissemination(index));
        let summaries = positions().filter_map(|(position, member)| {
            let dissemination = dissemination?;
            if member.vm == self.me.vm {
                return Some((position, summary_codec::encode(&local.summary)));
            }
            let (received_in, coded) = self.peers.get(&member.vm)?.coded_summary.as_ref()?;
            (*received_in == dissemination).then(|| (position, coded.clone()))
        });
        DomainDigest {
            list_id: self.gossip_ring.list_id,
            ages: ages.collect::<Bytes>(),
            names,
            leaving: positions()
                .filter(|(_, m)| self.peers.get(&m.vm).is_some_and(|peer| peer.leaving))
                .map(|(position, _)| position)
                .collect(),
            summaries: summaries.collect(),
        }
    }

    fn encode_age(&self, now: Time, member: &Member) -> u8 {
        if member.vm == self.me.vm {
            return APPLIES_FLAG;
        }
        let Some(peer) = self.peers.get(&member.vm) else {
            return AGE_UNKNOWN;
        };
        let age = peer
            .last_heard
            .map(|heard| now.since(heard).get() / AGE_STEP_MS + 1);
        let coded = age.and_then(|age| u8::try_from(age).ok());
        let coded = coded.unwrap_or(AGE_UNKNOWN).min(AGE_UNKNOWN);
        match peer.generation >= self.generation {
            true => coded | APPLIES_FLAG,
            false => coded,
        }
    }

    /// Applies the digest in a heartbeat from a member of this failure domain.
    pub(super) fn on_digest(
        &mut self,
        ctx: &mut Context<'_>,
        heartbeat: &Heartbeat,
        local: &LocalState,
    ) {
        let Some(digest) = heartbeat.digest.as_ref() else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&heartbeat.member.vm) {
            peer.list_id = Some(digest.list_id);
        }
        let list = match digest.names.is_empty() {
            false => digest.names.clone(),
            true if digest.list_id == self.gossip_ring.list_id => {
                self.gossip_ring.members().to_vec()
            }
            true => return,
        };
        for (member, code) in list.iter().zip(&digest.ages) {
            let first_hand = member.vm == self.me.vm || member.vm == heartbeat.member.vm;
            let age_code = code & AGE_UNKNOWN;
            if first_hand || age_code == AGE_UNKNOWN || member.domain != self.me.domain {
                continue;
            }
            let age = Millis::new(u64::from(age_code) * AGE_STEP_MS);
            let applied = (code & APPLIES_FLAG != 0).then_some(heartbeat.generation);
            self.on_reported_age(ctx, member, age, applied);
        }
        for position in &digest.leaving {
            if let Some(member) = list.get(usize::from(*position)) {
                self.on_leaving(ctx, &member.clone());
            }
        }
        let dissemination = self.gossip_ring.summary_dissemination(heartbeat.seq_index);
        for (position, coded) in &digest.summaries {
            let member = list.get(usize::from(*position));
            let peer = member.and_then(|member| self.peers.get_mut(&member.vm));
            if let (Some(peer), Some(dissemination)) = (peer, dissemination) {
                peer.summary = Some(summary_codec::decode(coded, &local.config));
                peer.coded_summary = Some((dissemination, coded.clone()));
            }
        }
    }

    /// Handles a report that another member last had a sign of life from `member` `age` ago.
    fn on_reported_age(
        &mut self,
        ctx: &mut Context<'_>,
        member: &Member,
        age: Millis,
        applied: Option<Generation>,
    ) {
        let heard = ctx.now - age;
        let fresh = age.get() * 2 <= self.settings.failure_timeout().get();
        if !self.accept_sign_of_life(ctx, member, heard, fresh) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&member.vm) {
            peer.last_heard = peer.last_heard.max(Some(heard));
            peer.update_generation(applied.unwrap_or_default());
        }
    }

    /// Applies a sign of life from a run of a daemon, adding the member if the run is new. Returns
    /// false if the run was replaced by a later one, or was marked as dead and shows no newer sign
    /// of life.
    pub(super) fn accept_sign_of_life(
        &mut self,
        ctx: &mut Context<'_>,
        member: &Member,
        heard: Time,
        fresh: bool,
    ) -> bool {
        let Some(peer) = self.peers.get(&member.vm) else {
            if fresh {
                self.add_member(ctx, member);
            }
            return fresh;
        };
        let known = peer.member.incarnation;
        if known > member.incarnation {
            return false;
        }
        if known == member.incarnation && peer.alive {
            return true;
        }
        let later = peer.died_at.is_none_or(|died| heard > died) || known < member.incarnation;
        if !fresh || !later {
            return false;
        }
        if peer.alive {
            self.mark_dead(ctx, &member.vm);
        }
        self.add_member(ctx, member);
        true
    }

    /// Records that a member announced its leaving.
    pub(super) fn on_leaving(&mut self, ctx: &mut Context<'_>, member: &Member) {
        let Some(peer) = self.peers.get_mut(&member.vm) else {
            return;
        };
        let same = peer.member.incarnation == member.incarnation;
        if !same || !peer.alive || peer.leaving {
            return;
        }
        peer.leaving = true;
        self.changes.push(MemberChange::Leaving(member.clone()));
        super::membership::log(ctx, member, "leaving");
        self.rebuild_indexes();
    }
}
