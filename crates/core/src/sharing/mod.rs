//! Shares of a service's capacity by workspace: who has used how much of it, by work, and who may use more
//! while capacity is scarce. Knows no dispatcher; times and demands are arguments.

mod allocation;
mod decayed;
mod holder;
mod report;
mod settings;
mod table;
mod work;

pub use allocation::{fair_allocation_ms, Demand};
pub use holder::ShareHolder;
pub use report::{WorkReport, PRIORITIES_LEN};
pub use settings::{RawSharingSettings, SharingSettings};
pub use table::{OverShare, ShareTable};
pub use work::{engine_work_ms, SentWork, SentWorkTable};
