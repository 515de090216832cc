//! What daemons tell each other about their work.

use super::HelperAssignment;
use crate::{
    fleet::UpstreamRecord,
    ids::{SendId, StoreVersion, UpstreamId},
    units::{Millis, Time, Tokens},
};
use serde::{Deserialize, Serialize};

/// A request that a daemon sent to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlightReport {
    /// The transmission.
    pub send: SendId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Engines that read parts of the prompt for it.
    pub helpers: Vec<HelperAssignment>,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer, estimated.
    pub output_tokens: Tokens,
    /// Memory that it takes at the upstream that answers.
    pub memory_tokens: Tokens,
    /// Longest pause between events for an answer that is on time.
    pub pause_target_ms: Millis,
    /// Time since it was sent.
    pub age_ms: Millis,
    /// Time from sending to its first event as it is predicted, where no word of it will come.
    pub first_due_ms: Option<Millis>,
    /// Time since its answer's first event, where one came.
    pub writing_ms: Option<Millis>,
}

/// A change of the list of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamChange {
    /// An upstream registered, or something but the age of its entry changed.
    Registered(UpstreamRecord),
    /// Its entry was removed.
    #[serde(rename = "Gone")]
    Removed(UpstreamId),
}

/// What a daemon tells its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DispatchMessage {
    /// All its work, in place of what it told before.
    #[serde(rename = "All")]
    Snapshot(Vec<InFlightReport>),
    /// It sent a request.
    Started(InFlightReport),
    /// The first event of an answer came.
    #[serde(rename = "Writing")]
    FirstEvent(SendId),
    /// A request is off its upstream.
    Ended(SendId),
    /// What the store said about the list of upstreams.
    #[serde(rename = "Upstreams")]
    UpstreamChanges {
        /// Version up to which the list must be known for the changes to make it whole.
        after: StoreVersion,
        /// Version that the list is of with the changes.
        version: StoreVersion,
        /// The changes.
        changes: Vec<UpstreamChange>,
    },
    /// It follows this peer's contact with the store about operators' writes.
    #[serde(rename = "Follow")]
    FreshnessRequest {
        /// Its own time, given back with the peer's word.
        asked_at: Time,
    },
    /// It had contact with the store about operators' writes.
    #[serde(rename = "Vouch")]
    FreshnessReport {
        /// When the peer that is told asked for it, where that was before the contact.
        asked_at: Option<Time>,
        /// Version of the store up to which the last change was seen.
        changed: StoreVersion,
        /// Version up to which there is no other one.
        version: StoreVersion,
    },
    /// Several, in their order.
    #[serde(rename = "Several")]
    Batch(Vec<DispatchMessage>),
    /// Another upstream has this one's address: it is gone.
    #[serde(rename = "Replaced")]
    UpstreamReplaced(UpstreamId),
    /// An upstream failed: others may keep away from it for this time.
    #[serde(rename = "Sick")]
    UpstreamFailed {
        /// The upstream.
        upstream: UpstreamId,
        /// How long.
        for_ms: Millis,
    },
}
