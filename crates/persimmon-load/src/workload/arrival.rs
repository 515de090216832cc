//! One request that is to be made.

use super::LengthClass;
use persimmon_core::{
    ids::{ServiceName, WorkspaceId},
    units::Tokens,
};
use std::time::Duration;

/// One request that is to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its number in the run.
    pub number_index: u64,
    /// When, from the start of the run.
    pub at: Duration,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// What is asked.
    pub work: Work,
}

/// What a request asks.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// An answer of the model.
    Model {
        /// Length of the prompt.
        prompt_tokens: Tokens,
        /// Length of the answer.
        output_tokens: Tokens,
        /// Whether the prompt starts with the document of its workspace.
        shares_prefix: bool,
    },
    /// A call of a plain service under a key of its own.
    Service(ServiceName),
}

impl Arrival {
    /// The class of its prompt; `None` for a call of a plain service.
    pub fn class(&self) -> Option<LengthClass> {
        match self.work {
            Work::Model { prompt_tokens, .. } => Some(prompt_tokens.into()),
            Work::Service(_) => None,
        }
    }

    /// The idempotency key of its call, where it is one of a plain service.
    pub fn key(&self, seed: u64) -> String {
        key(seed, self.number_index)
    }
}

/// The idempotency key of the request with this number.
pub(crate) fn key(seed: u64, number_index: u64) -> String {
    format!("load-{seed}-{number_index}")
}
