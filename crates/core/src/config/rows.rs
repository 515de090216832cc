//! Rows and objects that hold the configuration.

use crate::ids::{Generation, PlanId};

/// The row that holds the number of the newest generation.
pub(crate) const HEAD: &str = "config/head";

/// What keys of change records start with.
pub(crate) const RECORDS: &str = "config/gen/";

/// What keys of plans start with.
pub(crate) const PLANS: &str = "plans/";

/// The row of a change record.
pub(crate) fn record_key(generation: Generation) -> String {
    format!("{RECORDS}{:020}", generation.get())
}

/// The object of a snapshot.
pub(crate) fn snapshot_key(generation: Generation) -> String {
    format!("config/snapshot/{:020}", generation.get())
}

/// The row of a plan.
pub(crate) fn plan_key(plan: &PlanId) -> String {
    format!("{PLANS}{plan}")
}

/// The generation that a head row holds, 0 where the row is absent; none where it is unreadable.
pub(crate) fn read_head(value: Option<&[u8]>) -> Option<Generation> {
    let Some(raw) = value else {
        return Some(Generation::default());
    };
    std::str::from_utf8(raw).ok()?.parse().ok()
}
