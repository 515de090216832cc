//! Messages between daemons: in-flight requests, ejections, and changes read from the store.

use super::{
    CrashReport, ExtensionFrame, HelperAssignment, OperatorChange, QuarantinedFingerprint,
};
use crate::{
    catalog::CatalogStamp,
    fleet::{UpstreamIncarnation, UpstreamRecord},
    ids::{Fingerprint, SendId, UpstreamId},
    path::RelayOffer,
    units::{Millis, RequestsPerSecond, Time, Tokens},
    watch::{Change, StorePosition},
};
use serde::{Deserialize, Serialize};

/// A request that a daemon has in flight at an upstream, as it reports it to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightReport {
    /// The transmission.
    pub send: SendId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<HelperAssignment>,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Estimated tokens in the answer.
    pub output_tokens: Tokens,
    /// KV memory that the request uses at the answering upstream.
    pub memory_tokens: Tokens,
    /// Longest pause between events of an answer that counts as on time.
    pub pause_target_ms: Millis,
    /// Time since the request was sent.
    pub age_ms: Millis,
    /// Predicted time from sending to the first event, if the daemon will not report that event.
    pub first_due_ms: Option<Millis>,
    /// Time since the first event of the answer, if one came.
    pub writing_ms: Option<Millis>,
}

/// A change to the list of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamChange {
    /// An upstream registered, or its entry changed.
    Registered(UpstreamRecord),
    /// The upstream's entry was removed.
    #[serde(rename = "Gone")]
    Removed(UpstreamId),
}

impl UpstreamChange {
    /// The change, if it is one of the list of upstreams.
    pub(super) fn from_read(change: &Change) -> Option<Self> {
        match change {
            Change::Upstream(record) => Some(Self::Registered((**record).clone())),
            Change::UpstreamRemoved(id) => Some(Self::Removed(id.clone())),
            Change::Catalog(_)
            | Change::DomainWithdrawn(_)
            | Change::DomainReturned(_)
            | Change::Member(_)
            | Change::Unreadable { .. } => None,
        }
    }
}

/// A message from a daemon to its peers. The peer link codes variants by position, and daemons of two builds
/// serve side by side during an upgrade: no variant may change, and new kinds are [`ExtensionMessage`]s.
///
/// [`ExtensionMessage`]: super::ExtensionMessage
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DispatchMessage {
    /// All in-flight requests of the sender; replaces its earlier reports.
    #[serde(rename = "All")]
    Snapshot(Vec<InFlightReport>),
    /// The sender sent a request to an upstream.
    Started(InFlightReport),
    /// The first event of the answer to a request came.
    #[serde(rename = "Writing")]
    FirstEvent(SendId),
    /// A request has ended at its upstream.
    Ended(SendId),
    /// Changes to the list of upstreams that the sender read from the store.
    #[serde(rename = "Upstreams")]
    UpstreamChanges {
        /// Position that the receiver's list must have at least for the changes to complete it.
        after: StorePosition,
        /// Position of the list after the changes.
        position: StorePosition,
        /// The changes.
        changes: Vec<UpstreamChange>,
    },
    /// Asks a peer that reads the store to report its next contact about operators' writes.
    #[serde(rename = "Follow")]
    FreshnessRequest {
        /// The sender's own clock, which the peer returns in its report.
        asked_at: Time,
    },
    /// Reports a contact with the store about operators' writes.
    #[serde(rename = "Vouch")]
    FreshnessReport {
        /// The receiver's clock from its last request, if that request came before the contact.
        asked_at: Option<Time>,
        /// Position of the last change to operators' writes that the sender has seen.
        changed: StorePosition,
        /// Position up to which there is no later change.
        position: StorePosition,
    },
    /// Several messages, in order.
    #[serde(rename = "Several")]
    Batch(Vec<DispatchMessage>),
    /// The upstream is gone: another one has its address.
    #[serde(rename = "Replaced")]
    UpstreamReplaced(UpstreamId),
    /// An upstream failed, and the sender ejected it: peers eject it too.
    #[serde(rename = "Sick")]
    UpstreamEjected {
        /// The upstream.
        upstream: UpstreamId,
        /// Duration of the ejection.
        for_ms: Millis,
        /// Whether the upstream could not be reached; otherwise it was silent or broke an answer off.
        unreachable: bool,
    },
    /// Operators' changes that the sender read from the store.
    #[serde(rename = "Operators")]
    OperatorChanges {
        /// Position that the receiver must have at least for the changes to complete what it knows.
        after: StorePosition,
        /// Position after the changes.
        position: StorePosition,
        /// The changes.
        changes: Vec<OperatorChange>,
    },
    /// The catalog that the sender uses, and the era of the store that it was read in.
    #[serde(rename = "Catalog")]
    CatalogInUse(CatalogStamp),
    /// The upstream said in an answer that it is about to stop.
    #[serde(rename = "Leaving")]
    UpstreamLeaving(UpstreamIncarnation),
    /// The upstream asked the sender to back off.
    #[serde(rename = "Backoff")]
    UpstreamBackoff {
        /// The upstream.
        upstream: UpstreamIncarnation,
        /// Time until it wants requests again.
        for_ms: Millis,
    },
    /// What the sender knows of requests that may end upstreams.
    Quarantine(QuarantineMessage),
    /// Rate limits that upstreams have stated, or no longer state.
    RateLimits(Vec<RateLimitReport>),
    /// Whether, and to where, the sender passes connections on for its peers.
    Relay(RelayOffer),
    /// A message of a kind that some builds may not know. Builds that lack this variant drop the whole frame
    /// that holds it, so it goes into a batch only if all peers know its kind. Must stay the last variant.
    Extension(ExtensionFrame),
}

/// What an upstream last stated about its rate limit, as far as the sender knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimitReport {
    /// The upstream.
    pub upstream: UpstreamIncarnation,
    /// Requests a second that it takes from all daemons together; none if it has no limit.
    pub per_s: Option<RequestsPerSecond>,
    /// Time since the request was sent that was answered with it.
    pub sent_ms: Millis,
    /// Time since that answer came.
    pub received_ms: Millis,
}

/// News of the fingerprints of requests that may end upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum QuarantineMessage {
    /// The process of an upstream ended with requests of the sender in flight there.
    Crashed(CrashReport),
    /// Requests with these are refused.
    Quarantined(Vec<QuarantinedFingerprint>),
    /// An upstream answered requests with these: they are not to blame for crashes.
    Cleared(Vec<Fingerprint>),
}
