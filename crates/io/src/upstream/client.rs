//! The border to upstreams.

use bytes::Bytes;
use persimmon_core::{
    ids::{AdapterName, IdempotencyKey},
    request::{AttemptPlan, StoredResult, UpstreamError},
    units::Tokens,
    upstream::{CacheBatch, LoadReport, Order},
};
use std::{fmt, net::SocketAddr, sync::Arc};

/// One token of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutputToken {
    /// Its offset in the answer, from 0.
    pub offset_tokens: Tokens,
    /// Its text.
    pub token: Bytes,
}

/// What a model stream gives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// A token.
    Token(OutputToken),
    /// The finish marker.
    Done {
        /// Tokens of the whole answer.
        output_tokens: Tokens,
    },
}

/// A streamed model attempt to send.
#[derive(Clone, Debug)]
pub struct StreamCall {
    /// The attempt.
    pub plan: AttemptPlan,
    /// The adapter, if any.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens of the answer.
    pub max_output_tokens: Tokens,
}

/// A plain service call to send.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The attempt.
    pub plan: AttemptPlan,
    /// HTTP method.
    pub method: String,
    /// Path and query behind `/services/<name>`, with its leading slash.
    pub path: String,
    /// Value of `Content-Type`, if any.
    pub content_type: Option<String>,
    /// The key, if any.
    pub key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
}

/// An open model stream.
pub trait TokenStream: Send {
    /// Waits for the next token or the finish marker.
    ///
    /// # Errors
    ///
    /// How the stream failed. An end without the finish marker is `Broken`.
    fn next_item(&mut self) -> Result<StreamItem, UpstreamError>;
}

/// Calls upstreams. Each call blocks and is made on a thread of traffic or of a worker pool.
pub trait UpstreamClient: fmt::Debug + Send + Sync {
    /// Opens a model stream.
    ///
    /// # Errors
    ///
    /// How it failed; `proves_not_run` tells whether it is proved not to have run.
    fn open_stream(&self, call: &StreamCall) -> Result<Box<dyn TokenStream>, UpstreamError>;

    /// Makes a plain service call.
    ///
    /// # Errors
    ///
    /// As `open_stream`.
    fn call_service(&self, call: &ServiceCall) -> Result<StoredResult, UpstreamError>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// As `open_stream`.
    fn order(&self, order: &Order) -> Result<(), UpstreamError>;

    /// Asks for the load.
    ///
    /// # Errors
    ///
    /// As `open_stream`.
    fn load(&self, address: SocketAddr) -> Result<LoadReport, UpstreamError>;

    /// Asks for cache events from a sequence number, or for the whole cache.
    ///
    /// # Errors
    ///
    /// As `open_stream`.
    fn cache(
        &self,
        address: SocketAddr,
        from_seq_index: Option<u64>,
    ) -> Result<CacheBatch, UpstreamError>;
}
