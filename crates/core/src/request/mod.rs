//! Callers' requests, their attempts at upstreams, and the responses to callers.

mod attempt;
mod errors;
mod prefix;
mod refusal;
mod spec;

pub use attempt::{AttemptPlan, AttemptResult, FinalResponse, Priority, StoredResult};
pub use errors::UpstreamError;
pub use prefix::{count_tokens, prefix_blocks, BLOCK_TOKENS};
pub use refusal::{Outcome, Refusal, RefusalCode};
pub use spec::{CallTarget, LengthClass, ModelCall, RequestSpec, ServiceCall};
