//! The callers' HTTP interface.

mod check;
mod errors;
mod limits;
mod payload;
mod raw;
mod request_reader;
mod response;
mod server;
mod ticket;

pub use check::{chat_prompt, ChatMessage};
pub use errors::RequestError;
pub use limits::HttpLimits;
pub use payload::{AnswerFormat, CheckedCall, ModelPayload, Payload, ServicePayload};
pub use raw::RawCall;
pub use server::{CallerServer, MetricsPage};
