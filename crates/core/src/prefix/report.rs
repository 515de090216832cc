//! What a daemon tells its peers of prompt prefixes.

use super::{prompt::PARTS_MAX_LEN, PrefixPart};
use crate::{
    fleet::UpstreamIncarnation,
    ids::SendId,
    units::{Millis, Tokens},
};
use serde::{Deserialize, Serialize};

/// Maximum number of reports in one message. A daemon sends far fewer requests between two messages.
pub(super) const REPORTS_MAX_LEN: usize = 256;

/// Parts of a prompt that an upstream got.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefixReport {
    /// The transmission with which it got them; none for parts that it is only believed to keep.
    pub send: Option<SendId>,
    /// The process that got them.
    pub upstream: UpstreamIncarnation,
    /// The parts.
    pub parts: Vec<PrefixPart>,
    /// Tokens of the prompt that the upstream was expected to hold when the request was sent.
    pub cached_tokens: Tokens,
    /// Time since their last use.
    pub used_ms: Millis,
}

/// Limits what is believed of a peer's message.
pub(super) fn bounded(reports: Vec<PrefixReport>) -> impl Iterator<Item = PrefixReport> {
    reports.into_iter().take(REPORTS_MAX_LEN).map(|mut report| {
        report.parts.truncate(PARTS_MAX_LEN);
        report
    })
}
