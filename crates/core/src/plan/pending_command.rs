//! An operator's command that waits for the store.

use crate::{
    config::ChangeRecord,
    ids::{OperatorName, PlanId},
    operator::Plan,
    platform::{CallToken, TableKey},
    units::Time,
};

/// The current step of a command.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// A new plan is being stored.
    Storing(Box<Plan>),
    /// A plan is being read in order to show it.
    Showing,
    /// All plans are being read page by page: the plans so far and the last key read.
    Listing(Vec<Plan>, Option<TableKey>),
    /// The plan is being read in order to confirm it.
    ReadingPlan,
    /// The transaction that confirms the plan is in progress.
    Writing(Box<ChangeRecord>),
    /// The head is being read to find the cause of a conflict or of a lost answer.
    ReadingHead(Box<Plan>),
    /// The plan is already confirmed, and its change record is being read.
    ReadingRecord(Box<ChangeRecord>),
    /// The generation is stored, and the members are applying it since the given time.
    AwaitingMembers(Box<ChangeRecord>, Time),
}

/// An operator's command that waits for the store.
#[derive(Clone, Debug)]
pub(super) struct PendingCommand {
    pub(super) call: CallToken,
    pub(super) operator: OperatorName,
    pub(super) plan: Option<PlanId>,
    pub(super) unix_ms: u64,
    pub(super) stage: Stage,
    /// Token of the pending call to the store.
    pub(super) token: Option<CallToken>,
    /// Time at which the pending call times out or a retry is due.
    pub(super) due: Time,
    /// Number of calls to the store so far.
    pub(super) store_attempts: u32,
    /// Whether a transaction was sent whose answer was lost.
    pub(super) outcome_unknown: bool,
    /// Whether the head must be read before the transaction is sent again.
    pub(super) check_head: bool,
}
