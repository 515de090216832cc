//! The client for upstreams.

mod client;
mod errors;
mod http_client;
mod sse;

pub use client::{OutputToken, ServiceCall, StreamCall, StreamItem, TokenStream, UpstreamClient};
pub use errors::{answer_error, transport_error};
pub use http_client::HttpUpstream;
pub use sse::SseReader;
