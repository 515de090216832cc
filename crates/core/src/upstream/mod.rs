//! Orders that owners send to upstreams, and the reports of upstreams.

mod cache_event;
mod load_report;
mod order;

pub use cache_event::{CacheBatch, CacheChange};
pub use load_report::LoadReport;
pub use order::{Order, OrderKind, Role};
