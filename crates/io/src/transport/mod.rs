//! HTTP between callers and upstreams on one thread: a listener, a connection pool for upstreams,
//! and a task for each request, which carries out the dispatcher's commands.

mod accept;
mod body_end;
mod call_task;
mod caller_listener;
mod caller_stream;
mod carried;
mod connection_limits;
mod connector;
mod dialect;
mod event_stream;
mod exchange;
mod held_response;
mod hub;
mod memory;
mod open_call;
mod orders;
mod page_listener;
mod placed_body;
mod places;
mod pool;
mod relay;
mod reply;
mod report_limiter;
mod request_body;
mod response_body;
mod signals;
mod silence;
mod socket;
mod store;

pub(crate) use accept::accept;
pub use caller_listener::{CallerListener, DrainState, SharedLimits};
pub(crate) use caller_stream::CallerStream;
pub use connector::{ByteStream, Connector, RelayDialer, Target};
pub use dialect::{
    remove_hop_headers, Dialect, ForwardContext, NamedRequest, RequestHead, RequestHeadError,
    ResponseHead,
};
pub use event_stream::EventStream;
pub use hub::{CallCommand, Hub};
pub use memory::{Memory, MemoryUsage};
pub use orders::send_order;
pub use page_listener::{serve_pages, Page};
pub(crate) use placed_body::PlacedBody;
pub(crate) use places::{Place, Places};
pub use pool::{CallLimits, Pool, PoolError};
pub use relay::serve_relay;
pub use report_limiter::ReportLimiter;
pub(crate) use request_body::{BodyError, BodyReader};
pub use request_body::{OutgoingBlocks, OutgoingBody};
pub use response_body::{BodyChunk, ResponseBody, TruncatedResponse};
pub use socket::listen;
pub(crate) use socket::set_held_caller_options;
pub use store::{LocalFuture, MetadataStore};
