//! One scheduled request.

use persimmon_core::{
    ids::{ServiceName, WorkspaceId},
    request::LengthClass,
    units::Tokens,
};
use std::time::Duration;

/// One scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Index of the request in the run.
    pub number_index: u64,
    /// When the request is due, from the start of the run.
    pub at_us: u64,
    /// The workspace that sends it.
    pub workspace: WorkspaceId,
    /// What the request asks for.
    pub kind: RequestKind,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// A completion by the model.
    Model {
        /// Length of the prompt.
        prompt_tokens: Tokens,
        /// Length of the completion.
        output_tokens: Tokens,
        /// Whether the prompt starts with the prefix that the workspace's prompts share.
        shares_prefix: bool,
    },
    /// A call of a plain service with its own idempotency key.
    Service(ServiceName),
}

impl Arrival {
    /// When the request is due, from the start of the run.
    pub fn at(&self) -> Duration {
        Duration::from_micros(self.at_us)
    }

    /// The length class of the prompt; `None` for a call of a plain service.
    pub fn class(&self) -> Option<LengthClass> {
        match self.kind {
            RequestKind::Model { prompt_tokens, .. } => Some(LengthClass::of(prompt_tokens)),
            RequestKind::Service(_) => None,
        }
    }

    /// The idempotency key of the request; only calls of plain services carry it.
    pub fn idempotency_key(&self, seed: u64) -> String {
        idempotency_key(seed, self.number_index)
    }
}

/// The idempotency key of the request with this index.
pub(crate) fn idempotency_key(seed: u64, number_index: u64) -> String {
    format!("load-{seed}-{number_index}")
}
