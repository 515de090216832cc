//! What is told of the own failure domain, and what is made of it when heard.

use super::{coded_summary, LocalState, MemberChange, Membership};
use crate::{
    ids::{Generation, VmId},
    message::{DomainDigest, Heartbeat, Member},
    units::{Millis, Time},
    Context,
};
use bytes::Bytes;

/// Unit of a coded age.
const AGE_STEP_MS: u64 = 20;

/// Code of an age that is unknown or too long.
const AGE_UNKNOWN: u8 = 127;

/// Set where a member applies the sender's generation.
const APPLIES: u8 = 128;

impl Membership {
    /// What to tell a member of the own failure domain.
    pub(super) fn digest_for(
        &self,
        now: Time,
        to: &VmId,
        local: &LocalState,
        round_index: Option<u64>,
    ) -> DomainDigest {
        let members = self.roster.members();
        let ages = members.iter().map(|member| self.code_of(now, member));
        let shared = self.peers.get(to).and_then(|peer| peer.list_id);
        let names = match shared == Some(self.roster.list_id) {
            true => Vec::new(),
            false => members.to_vec(),
        };
        let places = || (0..).zip(members);
        let spread = round_index.and_then(|index| self.roster.spread(index));
        let summaries = places().filter_map(|(place, member)| {
            let spread = spread?;
            if member.vm == self.me.vm {
                return Some((place, coded_summary::code(&local.summary)));
            }
            let (heard, coded) = self.peers.get(&member.vm)?.coded.as_ref()?;
            (*heard == spread).then(|| (place, coded.clone()))
        });
        DomainDigest {
            list_id: self.roster.list_id,
            ages: ages.collect::<Bytes>(),
            names,
            leaving: places()
                .filter(|(_, m)| self.peers.get(&m.vm).is_some_and(|peer| peer.leaving))
                .map(|(place, _)| place)
                .collect(),
            summaries: summaries.collect(),
        }
    }

    fn code_of(&self, now: Time, member: &Member) -> u8 {
        if member.vm == self.me.vm {
            return APPLIES;
        }
        let Some(peer) = self.peers.get(&member.vm) else {
            return AGE_UNKNOWN;
        };
        let age = peer
            .heard
            .map(|heard| now.since(heard).get() / AGE_STEP_MS + 1);
        let coded = age.and_then(|age| u8::try_from(age).ok());
        let coded = coded.unwrap_or(AGE_UNKNOWN).min(AGE_UNKNOWN);
        match peer.generation >= self.generation {
            true => coded | APPLIES,
            false => coded,
        }
    }

    /// A member told of the own failure domain.
    pub(super) fn on_digest(
        &mut self,
        ctx: &mut Context<'_>,
        beat: &Heartbeat,
        local: &LocalState,
    ) {
        let Some(digest) = beat.digest.as_ref() else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&beat.member.vm) {
            peer.list_id = Some(digest.list_id);
        }
        let list = match digest.names.is_empty() {
            false => digest.names.clone(),
            true if digest.list_id == self.roster.list_id => self.roster.members().to_vec(),
            true => return,
        };
        for (member, code) in list.iter().zip(&digest.ages) {
            let told = member.vm == self.me.vm || member.vm == beat.member.vm;
            let code_age = code & AGE_UNKNOWN;
            if told || code_age == AGE_UNKNOWN || member.domain != self.me.domain {
                continue;
            }
            let age = Millis::new(u64::from(code_age) * AGE_STEP_MS);
            let applied = (code & APPLIES != 0).then_some(beat.generation);
            self.on_told(ctx, member, age, applied);
        }
        for place in &digest.leaving {
            if let Some(member) = list.get(usize::from(*place)) {
                self.on_leaving(ctx, &member.clone());
            }
        }
        let spread = self.roster.spread(beat.seq_index);
        for (place, coded) in &digest.summaries {
            let member = list.get(usize::from(*place));
            let peer = member.and_then(|member| self.peers.get_mut(&member.vm));
            if let (Some(peer), Some(spread)) = (peer, spread) {
                peer.summary = Some(coded_summary::decode(coded, &local.config));
                peer.coded = Some((spread, coded.clone()));
            }
        }
    }

    /// Another member last had a sign of life of this one `age` ago.
    fn on_told(
        &mut self,
        ctx: &mut Context<'_>,
        member: &Member,
        age: Millis,
        applied: Option<Generation>,
    ) {
        let heard = ctx.now - age;
        let fresh = age.get() * 2 <= self.settings.death().get();
        if !self.accept(ctx, member, heard, fresh) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&member.vm) {
            peer.heard = peer.heard.max(Some(heard));
            peer.applies(applied.unwrap_or_default());
        }
    }

    /// Takes in a sign of life of a run. False for an old run or one that is dead by now.
    pub(super) fn accept(
        &mut self,
        ctx: &mut Context<'_>,
        member: &Member,
        heard: Time,
        fresh: bool,
    ) -> bool {
        let Some(peer) = self.peers.get(&member.vm) else {
            if fresh {
                self.join(ctx, member);
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
        let later = peer.died.is_none_or(|died| heard > died) || known < member.incarnation;
        if !fresh || !later {
            return false;
        }
        if peer.alive {
            self.bury(ctx, &member.vm);
        }
        self.join(ctx, member);
        true
    }

    /// A member leaves.
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
        self.index();
    }
}
