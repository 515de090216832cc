//! HTTP between callers and upstreams, on one thread: a listener, connections to upstreams, and a
//! task for each request, which does what the dispatcher decides.

mod accept;
mod answer_body;
mod call_task;
mod caller_listener;
mod dialect;
mod event_stream;
mod exchange;
mod hub;
mod orders;
mod page_listener;
mod pool;
mod reply;
mod store;

pub use answer_body::{AnswerBody, BrokenAnswer};
pub use caller_listener::{CallerListener, DrainState, SharedLimits};
pub use dialect::{
    remove_hop_headers, Dialect, ForwardContext, RequestHead, RequestHeadError, ResponseHead,
};
pub use event_stream::EventStream;
pub use hub::{CallCommand, Hub};
pub use orders::send_order;
pub use page_listener::{serve_pages, Page};
pub use pool::{Pool, PoolError};
pub use store::{LocalFuture, MetadataStore};
