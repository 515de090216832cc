//! Claims of idempotency keys. A claim ensures that the call under a key is executed at most once.

mod claim_record;
mod claims;
mod pending;
mod row_keys;
mod settings;
mod sweeper;
mod ticket_claims;
mod tickets;
mod write_budget;
mod writer;

pub use claim_record::{ClaimRecord, ClaimState};
pub use claims::Claims;
pub use pending::ClaimOutcome;
pub use settings::{ClaimSettings, RawClaimSettings};
pub use tickets::Tickets;
