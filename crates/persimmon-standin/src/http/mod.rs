//! HTTP server of the stand-ins, which serves each request on a thread of its own.

mod answer;
mod control;
mod listener;
mod slot;
mod sse;

pub use answer::{header, query, read_body, respond_error, respond_json, respond_status};
pub use control::ControlPage;
pub use listener::Listener;
pub use slot::ListenerSlot;
pub use sse::SseWriter;
