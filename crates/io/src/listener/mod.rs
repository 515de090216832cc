//! HTTP listener that receives requests on one event loop and serves each on a thread.

mod http_listener;
mod received;
mod responder;

pub use http_listener::{HttpListener, ListenerLimits};
pub use received::{BodyLimits, BodyRefusal, Received, Service};
pub use responder::{ChunkSender, Responder};
