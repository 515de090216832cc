//! Selects the engines of a group, and divides the prompt between them.

use super::{
    candidates::{total_tokens, Requirements},
    owner::Owner,
};
use crate::{
    config::{EngineConfig, UpstreamKind},
    context::View,
    ids::{AttemptId, UpstreamId, VmId},
    message::GrantRequest,
    units::{KvBytes, Time, Tokens},
    upstream::OrderKind,
};
use std::collections::{BTreeMap, VecDeque};

/// The segment of a prompt that one member of a group holds.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    /// The member's upstream.
    pub(super) upstream: UpstreamId,
    /// Index of the first token.
    pub(super) from_tokens: Tokens,
    /// Index one past the last token.
    pub(super) to_tokens: Tokens,
    /// KV memory of the segment, and of the answer at the last member.
    pub(super) kv_bytes: KvBytes,
}

/// Maximum number of members of a group. Leaves one engine to other requests where more than two
/// are available.
fn max_members(engines_count: usize) -> usize {
    engines_count.saturating_sub(1).max(2).min(engines_count)
}

/// Tokens that the largest permitted group of engines with these capacities holds.
pub(super) fn group_tokens(mut capacity_tokens: Vec<u64>) -> Tokens {
    capacity_tokens.sort_unstable_by(|a, b| b.cmp(a));
    let members = max_members(capacity_tokens.len());
    Tokens::new(capacity_tokens.into_iter().take(members).sum())
}

impl Owner {
    /// The fewest engines with enough free memory for the prompt and the longest answer, sorted by
    /// name; none if there is no such group now.
    pub(super) fn segments(
        &self,
        now: Time,
        view: &View<'_>,
        request: &GrantRequest,
        required: Requirements,
    ) -> Option<Vec<Segment>> {
        let model = view.config.models.get(request.model.as_ref()?)?;
        let per_token = model.kv_bytes_per_token;
        let engines = self.group_engines(request);
        let max_count = max_members(engines.len());
        let mut free: Vec<(u64, UpstreamId)> = Vec::new();
        for upstream in engines {
            let account = self.accounts.get(&upstream)?;
            let percent = self.settings.learning_percent;
            if account.slots_in_use(now) < account.in_flight_limit(now, percent) {
                let bytes = account.kv_free_for(now, &request.attempt).get();
                free.push((bytes / per_token.get().max(1), upstream));
            }
        }
        free.sort_unstable_by(|a, b| b.cmp(a));
        let required_tokens = required.prompt_tokens.get() + required.max_output_tokens.get();
        let mut members: Vec<(u64, UpstreamId)> = Vec::new();
        while members.iter().map(|(tokens, _)| tokens).sum::<u64>() < required_tokens {
            members.push(free.get(members.len()).cloned()?);
        }
        if members.len() > max_count {
            return None;
        }
        members.sort_unstable_by(|a, b| a.1.cmp(&b.1));
        Some(split_prompt(&members, required, per_token))
    }

    /// The owned engines that have the model loaded and can join a group.
    pub(super) fn group_engines(&self, request: &GrantRequest) -> Vec<UpstreamId> {
        let fits = self.accounts.iter().filter(|(id, account)| {
            account.can_join_group()
                && account.has_model(request)
                && account.drained_since.is_none()
                && !request.avoid.contains(id)
        });
        fits.map(|(id, _)| id.clone()).collect()
    }

    /// Another owner whose engines have enough memory for the request as a group.
    pub(super) fn owner_for_group(&self, view: &View<'_>, request: &GrantRequest) -> Option<VmId> {
        let model = view.config.models.get(request.model.as_ref()?)?;
        let per_token = model.kv_bytes_per_token.get().max(1);
        let required_tokens = total_tokens(request);
        let mut capacity_tokens: BTreeMap<&VmId, Vec<u64>> = BTreeMap::new();
        for (id, config) in &view.config.upstreams {
            let owner = view.directory.owner_of(id).filter(|vm| **vm != view.me.vm);
            if let (Some(owner), Some(engine)) = (owner, group_engine_config(&config.kind)) {
                let engines = capacity_tokens.entry(owner).or_default();
                engines.push(engine.kv_bytes.get() / per_token);
            }
        }
        let sufficient = capacity_tokens
            .into_iter()
            .find(|(_, capacity_tokens)| group_tokens(capacity_tokens.clone()) >= required_tokens);
        sufficient.map(|(owner, _)| owner.clone())
    }
}

fn group_engine_config(kind: &UpstreamKind) -> Option<&EngineConfig> {
    match kind {
        UpstreamKind::Engine(engine) if engine.can_group => Some(engine),
        _ => None,
    }
}
/// Splits a prompt into one segment for each member. The last member also holds the answer.
fn split_prompt(
    members: &[(u64, UpstreamId)],
    required: Requirements,
    per_token: KvBytes,
) -> Vec<Segment> {
    let mut segments = Vec::new();
    let (prompt, output) = (
        required.prompt_tokens.get(),
        required.max_output_tokens.get(),
    );
    let free: u64 = members.iter().map(|(tokens, _)| tokens).sum();
    let mut surplus_tokens = free - prompt - output;
    let mut from = 0;
    for (index, (tokens, upstream)) in members.iter().enumerate() {
        let last = index + 1 == members.len();
        let output_here = if last { output } else { 0 };
        let unused = surplus_tokens.min(tokens.saturating_sub(output_here + 1));
        surplus_tokens -= unused;
        let to = if last {
            prompt
        } else {
            (from + tokens - unused).min(prompt)
        };
        segments.push(Segment {
            upstream: upstream.clone(),
            from_tokens: Tokens::new(from),
            to_tokens: Tokens::new(to),
            kv_bytes: Tokens::new(to - from + output_here).kv_bytes(per_token),
        });
        from = to;
    }
    segments
}

/// The orders of a group, in sequence: each member imports the segments before its own, then
/// prefills its own. The last member prefills its segment when the request is dispatched to it.
pub(super) fn orders_of(
    view: &View<'_>,
    attempt: AttemptId,
    segments: &[Segment],
) -> VecDeque<(UpstreamId, OrderKind)> {
    let mut orders = VecDeque::new();
    for (index, segment) in segments.iter().enumerate() {
        for earlier in &segments[..index] {
            let Some(source) = view.config.upstreams.get(&earlier.upstream) else {
                continue;
            };
            let kind = OrderKind::ImportKv {
                request: attempt.request,
                source: source.address,
                from_tokens: earlier.from_tokens,
                to_tokens: earlier.to_tokens,
            };
            orders.push_back((segment.upstream.clone(), kind));
        }
        if index + 1 < segments.len() {
            let kind = OrderKind::PrefillSegment {
                request: attempt.request,
                from_tokens: segment.from_tokens,
                to_tokens: segment.to_tokens,
            };
            orders.push_back((segment.upstream.clone(), kind));
        }
    }
    orders
}
