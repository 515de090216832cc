//! Keys of the table rows and objects that store configuration and plans.

use crate::ids::{Generation, PlanId};

/// Key of the row that holds the number of the newest generation.
pub(crate) const HEAD: &str = "config/head";

/// Key prefix of change records.
pub(crate) const RECORDS: &str = "config/gen/";

/// Key prefix of plans.
pub(crate) const PLANS: &str = "plans/";

/// Key of the row that holds the change record of `generation`.
pub(crate) fn record_key(generation: Generation) -> String {
    format!("{RECORDS}{:020}", generation.get())
}

/// Key of the object that holds the snapshot of `generation`.
pub(crate) fn snapshot_key(generation: Generation) -> String {
    format!("config/snapshot/{:020}", generation.get())
}

/// Key of the row that holds `plan`.
pub(crate) fn plan_key(plan: &PlanId) -> String {
    format!("{PLANS}{plan}")
}

/// Parses the generation from the value of the head row: 0 if the row is absent, `None` if the
/// value is malformed.
pub(crate) fn read_head(value: Option<&[u8]>) -> Option<Generation> {
    let Some(raw) = value else {
        return Some(Generation::default());
    };
    std::str::from_utf8(raw).ok()?.parse().ok()
}
