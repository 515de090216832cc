//! One request that is to be made.

use persimmon_core::{
    ids::{ServiceName, WorkspaceId},
    request::LengthClass,
    units::Tokens,
};
use std::time::Duration;

/// One request that is to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its number in the run.
    pub number_index: u64,
    /// When, from the start of the run.
    pub at_us: u64,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// What is asked.
    pub kind: RequestKind,
}

/// What a request asks.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
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
    /// When, as the standard library's type.
    pub fn at(&self) -> Duration {
        Duration::from_micros(self.at_us)
    }

    /// The class of its prompt; `None` for a call of a plain service.
    pub fn class(&self) -> Option<LengthClass> {
        match self.kind {
            RequestKind::Model { prompt_tokens, .. } => Some(LengthClass::of(prompt_tokens)),
            RequestKind::Service(_) => None,
        }
    }

    /// The idempotency key of its call, where it is one of a plain service.
    pub fn idempotency_key(&self, seed: u64) -> String {
        idempotency_key(seed, self.number_index)
    }
}

/// The idempotency key of the request with this number.
pub(crate) fn idempotency_key(seed: u64, number_index: u64) -> String {
    format!("load-{seed}-{number_index}")
}
