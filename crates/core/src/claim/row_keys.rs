//! Keys of the claims' rows.

use crate::{
    ids::{IdempotencyKey, WorkspaceId},
    platform::TableKey,
};

/// What the keys of all claims start with.
pub(super) const CLAIMS_PREFIX: &str = "claims/";
/// The row that counts epochs.
pub(super) const EPOCH_ROW: &str = "claims-epoch";

/// The row of one key.
pub(super) fn claim_row(workspace: &WorkspaceId, key: &IdempotencyKey) -> TableKey {
    format!("{CLAIMS_PREFIX}{workspace}/{key}")
}
