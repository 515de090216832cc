//! Priority levels that determine the order in which an engine prefills.

use super::{
    owner::Owner,
    queue::{class_of, Lane},
};
use crate::{
    message::GrantRequest,
    request::{LengthClass, Priority},
    routing::RoutingPolicy,
    units::Millis,
};

/// Queued prefill time above which a workspace counts as over its fair share.
const OVER_SHARE_MS: Millis = Millis::new(100);

/// Priority levels at an engine. Lower levels run first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum PriorityLevel {
    /// Short prompts and plain services.
    Short,
    /// Medium prompts.
    Medium,
    /// Short and medium prompts of a workspace over its fair share.
    OverShare,
    /// Long prompts.
    Long,
    /// Huge prompts.
    Huge,
}

impl PriorityLevel {
    /// Number of levels.
    pub(super) const COUNT: usize = 5;

    /// The level of a length class, for a workspace within its fair share.
    pub(super) const fn of(class: LengthClass) -> Self {
        match class {
            LengthClass::Short => Self::Short,
            LengthClass::Medium => Self::Medium,
            LengthClass::Long => Self::Long,
            LengthClass::Huge => Self::Huge,
        }
    }

    /// The priority that the engine is given for this level.
    pub(super) const fn priority(self) -> Priority {
        Priority(self as u8)
    }
}

impl Owner {
    /// The length class by which a request queues. The baseline policies (least outstanding, round
    /// robin) do not distinguish classes.
    pub(super) fn class_for(&self, request: &GrantRequest) -> LengthClass {
        match self.settings.policy {
            RoutingPolicy::Cost => class_of(&request.spec.target),
            RoutingPolicy::LeastOutstanding | RoutingPolicy::RoundRobin => LengthClass::Short,
        }
    }

    /// The level at which a request would run if it were granted now.
    pub(super) fn level_for(&self, request: &GrantRequest) -> PriorityLevel {
        let class = self.class_for(request);
        let lane = Lane::of(class);
        let waiting_ms = self
            .queue
            .workspace_prefill_ms(lane, &request.spec.workspace);
        if lane == Lane::Short && waiting_ms > OVER_SHARE_MS {
            return PriorityLevel::OverShare;
        }
        PriorityLevel::of(class)
    }
}
