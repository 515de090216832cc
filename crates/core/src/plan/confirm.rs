//! One operator's command on its way through the store.

use crate::{
    config::ChangeRecord,
    ids::{OperatorName, PlanId},
    operator::Plan,
    platform::CallToken,
    units::Time,
};

/// Where a command stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// A new plan is being written.
    Storing(Box<Plan>),
    /// One plan is being read to be shown.
    Showing,
    /// All plans are being read.
    Listing,
    /// The plan is being read before it is confirmed.
    Reading,
    /// The transaction is under way.
    Writing(Box<ChangeRecord>),
    /// The head is being read to explain a conflict.
    Explaining(Box<Plan>),
    /// The generation is in the store; members apply it.
    Spreading(Box<ChangeRecord>, Time),
}

/// One operator's command on its way through the store.
#[derive(Clone, Debug)]
pub(super) struct Command {
    pub(super) call: CallToken,
    pub(super) operator: OperatorName,
    pub(super) plan: Option<PlanId>,
    pub(super) unix_ms: u64,
    pub(super) stage: Stage,
    /// The store's call that is awaited.
    pub(super) token: Option<CallToken>,
    /// When the awaited answer counts as lost, or a retry is due.
    pub(super) due: Time,
    /// Calls of the store so far.
    pub(super) store_attempts: u32,
    /// Whether a transaction went out whose answer was lost.
    pub(super) unknown: bool,
    /// Whether the head must be looked at before the plan is written again.
    pub(super) check_head: bool,
}
