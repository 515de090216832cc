//! Requests that wait for a grant.

use crate::{
    ids::AttemptId,
    message::{GrantRequest, Member},
    request::{CallTarget, LengthClass},
    units::Time,
};
use std::collections::BTreeMap;

/// One waiting request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// The entry daemon.
    pub(super) entry: Member,
    /// The class by which it queues.
    pub(super) class: LengthClass,
    /// What it asked.
    pub(super) request: GrantRequest,
    /// Until when it waits.
    pub(super) deadline: Time,
}

/// Waiting requests, shortest class first and in order of arrival within it.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    order: BTreeMap<(LengthClassOrder, u64), Waiting>,
    places: BTreeMap<AttemptId, (LengthClassOrder, u64)>,
    arrivals_count: u64,
}

type LengthClassOrder = u8;

/// The class of a call; plain services count as short.
pub(super) fn class_of(target: &CallTarget) -> LengthClass {
    match target {
        CallTarget::Model(call) => call.class(),
        CallTarget::Service(_) => LengthClass::Short,
    }
}

impl Queue {
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.arrivals_count += 1;
        let class = waiting.class as u8;
        let place = (class, self.arrivals_count);
        self.places.insert(waiting.request.attempt, place);
        self.order.insert(place, waiting);
    }

    pub(super) fn remove(&mut self, attempt: &AttemptId) -> Option<Waiting> {
        let place = self.places.remove(attempt)?;
        self.order.remove(&place)
    }

    pub(super) fn get(&self, attempt: &AttemptId) -> Option<&Waiting> {
        self.order.get(self.places.get(attempt)?)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.order.values()
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn ahead_of(&self, class: LengthClass) -> usize {
        self.order.range(..=(class as u8, u64::MAX)).count()
    }
}
