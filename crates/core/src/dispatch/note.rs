//! What daemons tell each other about their work.

use crate::{
    ids::{SendId, UpstreamId},
    units::{Millis, Tokens},
};
use serde::{Deserialize, Serialize};

/// A request that a daemon sent to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkStart {
    /// The transmission.
    pub send: SendId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Engines that read parts of the prompt for it.
    pub helpers: Vec<UpstreamId>,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer, estimated.
    pub output_tokens: Tokens,
    /// Longest pause between events for an answer that is on time.
    pub pause_target_ms: Millis,
    /// Time since it was sent.
    pub age_ms: Millis,
    /// Time since its answer's first event, where one came.
    pub writing_ms: Option<Millis>,
}

/// What a daemon tells its peers about its work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkNote {
    /// All its work, in place of what it told before.
    All(Vec<WorkStart>),
    /// It sent a request.
    Started(WorkStart),
    /// The first event of an answer came.
    Writing(SendId),
    /// A request is off its upstream.
    Ended(SendId),
    /// An upstream failed: others may keep away from it for this time.
    Sick {
        /// The upstream.
        upstream: UpstreamId,
        /// How long.
        for_ms: Millis,
    },
}
