//! Table keys of the rows for claims.

use crate::{
    ids::{IdempotencyKey, WorkspaceId},
    platform::TableKey,
};

/// Prefix of the table keys of all claims.
pub(super) const CLAIMS_PREFIX: &str = "claims/";
/// Table key of the row that holds the epoch counter.
pub(super) const EPOCH_ROW: &str = "claims-epoch";

/// Table key of the row of one idempotency key.
pub(super) fn claim_row(workspace: &WorkspaceId, key: &IdempotencyKey) -> TableKey {
    format!("{CLAIMS_PREFIX}{workspace}/{key}")
}
