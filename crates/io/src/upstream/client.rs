//! The client for upstreams, behind a trait.

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
    /// Offset in the answer, counted in tokens from 0.
    pub offset_tokens: Tokens,
    /// Text of the token.
    pub token: Bytes,
}

/// An item of a model stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// A token.
    Token(OutputToken),
    /// The finish marker.
    Done {
        /// Number of tokens of the complete answer.
        output_tokens: Tokens,
    },
}

/// A streaming call to a model.
#[derive(Clone, Debug)]
pub struct StreamCall {
    /// The attempt.
    pub plan: AttemptPlan,
    /// The adapter, if any.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Largest number of tokens that the answer may have.
    pub max_output_tokens: Tokens,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The attempt.
    pub plan: AttemptPlan,
    /// HTTP method.
    pub method: String,
    /// Path and query after `/services/<name>`, with the leading slash.
    pub path: String,
    /// Value of `Content-Type`, if any.
    pub content_type: Option<String>,
    /// The idempotency key, if any.
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
    /// How the stream failed. A stream that ends without the finish marker is `Broken`.
    fn next_item(&mut self) -> Result<StreamItem, UpstreamError>;
}

/// Calls upstreams. Each call blocks, so it is made on a traffic thread or in a worker pool.
pub trait UpstreamClient: fmt::Debug + Send + Sync {
    /// Opens a model stream.
    ///
    /// # Errors
    ///
    /// How the call failed; `proves_not_run` of the error tells whether the call certainly did not
    /// run.
    fn open_stream(&self, call: &StreamCall) -> Result<Box<dyn TokenStream>, UpstreamError>;

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Same as `open_stream`.
    fn call_service(&self, call: &ServiceCall) -> Result<StoredResult, UpstreamError>;

    /// Sends an order to an upstream.
    ///
    /// # Errors
    ///
    /// Same as `open_stream`.
    fn order(&self, order: &Order) -> Result<(), UpstreamError>;

    /// Requests a load report.
    ///
    /// # Errors
    ///
    /// Same as `open_stream`.
    fn load(&self, address: SocketAddr) -> Result<LoadReport, UpstreamError>;

    /// Requests the cache events from a sequence number on, or the whole cache if there is none.
    ///
    /// # Errors
    ///
    /// Same as `open_stream`.
    fn cache(
        &self,
        address: SocketAddr,
        from_seq_index: Option<u64>,
    ) -> Result<CacheBatch, UpstreamError>;
}
