//! Prompt prefixes that upstreams still have cached: what each upstream holds, and what a held prefix is worth
//! to a further request. Tables and pure functions; they do not depend on a dispatcher.

mod cached;
mod prompt;
mod recent_keys;
mod report;
mod settings;
mod statistics;
mod table;
mod table_reports;
mod upstream_prefixes;

pub use cached::CachedPrefix;
pub use prompt::{PrefixPart, PromptPart, PromptPrefix};
pub use recent_keys::RecentKeys;
pub use report::PrefixReport;
pub use settings::{PrefixRetention, PrefixSettings, RawPrefixRetention, RawPrefixSettings};
pub use table::{DaemonSend, PrefixPlace, PrefixRequest, PrefixTable, PrefixVerdict};
