//! The queue of requests that wait for a grant.

use super::fair_queueing::FairQueueing;
use crate::{
    ids::{AttemptId, WorkspaceId},
    message::{GrantRequest, Member},
    request::{CallTarget, LengthClass},
    units::{Millis, Time},
};
use std::collections::BTreeMap;

/// Sub-queues: short and long prompts queue separately.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lane {
    /// Short and medium prompts and plain services.
    Short,
    /// Long and huge prompts.
    Long,
}

impl Lane {
    /// Both lanes, the short one first.
    pub(super) const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// The lane of a length class.
    pub(super) const fn of(class: LengthClass) -> Self {
        match class {
            LengthClass::Short | LengthClass::Medium => Self::Short,
            LengthClass::Long | LengthClass::Huge => Self::Long,
        }
    }
}

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    /// The entry daemon that asked.
    pub(super) entry: Member,
    /// The length class that selects the lane.
    pub(super) class: LengthClass,
    /// The request itself.
    pub(super) request: GrantRequest,
    /// Expected time of its prefill.
    pub(super) prefill_ms: Millis,
    /// When it was queued.
    pub(super) since: Time,
    /// When it is denied at the latest.
    pub(super) deadline: Time,
}

/// The cost that a request is charged for in fair queueing.
#[derive(Clone, Debug)]
pub(super) struct QueueCost {
    /// The workspace that is charged.
    pub(super) workspace: WorkspaceId,
    /// Weight of the workspace.
    pub(super) weight_count: u32,
    /// Prompt tokens plus expected output tokens.
    pub(super) cost_tokens: u64,
}

/// A position in the queue: lane, finish tag, arrival number.
type QueuePosition = (Lane, u64, u64);

/// Queued requests by lane, ordered within a lane by fair-queueing finish tag, then by arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    by_position: BTreeMap<QueuePosition, QueuedRequest>,
    positions: BTreeMap<AttemptId, QueuePosition>,
    fair_queues: [FairQueueing; Lane::ALL.len()],
    prefill_ms: [Millis; Lane::ALL.len()],
    counts: [usize; Lane::ALL.len()],
    by_workspace: BTreeMap<(Lane, WorkspaceId), (usize, Millis)>,
    arrivals_count: u64,
}

/// The length class of a call. Calls of plain services count as short.
pub(super) fn class_of(target: &CallTarget) -> LengthClass {
    match target {
        CallTarget::Model(call) => call.class(),
        CallTarget::Service(_) => LengthClass::Short,
    }
}

impl Queue {
    pub(super) fn push(&mut self, waiting: QueuedRequest, cost: &QueueCost) {
        self.arrivals_count += 1;
        let lane = Lane::of(waiting.class);
        let tag = self.next_finish_tag(lane, cost);
        let position = (lane, tag, self.arrivals_count);
        self.prefill_ms[lane as usize] = self.prefill_ms[lane as usize] + waiting.prefill_ms;
        self.counts[lane as usize] += 1;
        let key = (lane, cost.workspace.clone());
        let totals = self.by_workspace.entry(key).or_default();
        *totals = (totals.0 + 1, totals.1 + waiting.prefill_ms);
        self.positions.insert(waiting.request.attempt, position);
        self.by_position.insert(position, waiting);
    }

    fn next_finish_tag(&mut self, lane: Lane, cost: &QueueCost) -> u64 {
        let fairness = &mut self.fair_queues[lane as usize];
        fairness.next_finish_tag(&cost.workspace, cost.cost_tokens, cost.weight_count)
    }

    /// Charges the workspace of a request that is granted without queueing.
    pub(super) fn charge_immediate_grant(&mut self, class: LengthClass, cost: &QueueCost) {
        let lane = Lane::of(class);
        let tag = self.next_finish_tag(lane, cost);
        if self.counts[lane as usize] == 0 {
            self.fair_queues[lane as usize].advance(tag);
        }
    }

    /// Removes a queued request that is granted, and advances the lane's virtual time.
    pub(super) fn take_granted(&mut self, attempt: &AttemptId) -> Option<QueuedRequest> {
        let (lane, tag, _) = *self.positions.get(attempt)?;
        self.fair_queues[lane as usize].advance(tag);
        self.remove(attempt)
    }

    pub(super) fn remove(&mut self, attempt: &AttemptId) -> Option<QueuedRequest> {
        let position = self.positions.remove(attempt)?;
        let waiting = self.by_position.remove(&position)?;
        let prefill_ms = &mut self.prefill_ms[position.0 as usize];
        *prefill_ms = prefill_ms.saturating_sub(waiting.prefill_ms);
        self.counts[position.0 as usize] -= 1;
        self.subtract_from_workspace(position.0, &waiting);
        Some(waiting)
    }

    fn subtract_from_workspace(&mut self, lane: Lane, waiting: &QueuedRequest) {
        let key = (lane, waiting.request.spec.workspace.clone());
        if let Some(totals) = self.by_workspace.get_mut(&key) {
            *totals = (totals.0 - 1, totals.1.saturating_sub(waiting.prefill_ms));
            if totals.0 == 0 {
                self.by_workspace.remove(&key);
            }
        }
    }

    /// Expected prefill time of a workspace's queued requests in a lane.
    pub(super) fn workspace_prefill_ms(&self, lane: Lane, workspace: &WorkspaceId) -> Millis {
        let totals = self.by_workspace.get(&(lane, workspace.clone()));
        totals.map_or(Millis::ZERO, |(_, prefill_ms)| *prefill_ms)
    }

    /// Upper bound of the number and prefill time of the requests ahead of a workspace's next one:
    /// its own queued requests, and as many of each other workspace in the lane.
    pub(super) fn ahead_of_next(&self, lane: Lane, workspace: &WorkspaceId) -> (usize, Millis) {
        let key = (lane, workspace.clone());
        let Some((count, prefill_ms)) = self.by_workspace.get(&key) else {
            return (0, Millis::ZERO);
        };
        let workspaces = self
            .by_workspace
            .keys()
            .filter(|(of, _)| *of == lane)
            .count();
        let all_ms = self.prefill_ms(lane);
        let share_ms = Millis::new(prefill_ms.get() * workspaces as u64);
        (
            (count * workspaces).min(self.counts[lane as usize]),
            share_ms.min(all_ms),
        )
    }

    pub(super) fn get(&self, attempt: &AttemptId) -> Option<&QueuedRequest> {
        self.by_position.get(self.positions.get(attempt)?)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.by_position.values()
    }

    pub(super) fn lane(&self, lane: Lane) -> impl DoubleEndedIterator<Item = &QueuedRequest> {
        let range = (lane, 0, 0)..=(lane, u64::MAX, u64::MAX);
        self.by_position.range(range).map(|(_, waiting)| waiting)
    }

    pub(super) fn len(&self) -> usize {
        self.by_position.len()
    }

    /// Expected prefill time of all queued requests in a lane.
    pub(super) fn prefill_ms(&self, lane: Lane) -> Millis {
        self.prefill_ms[lane as usize]
    }
}
