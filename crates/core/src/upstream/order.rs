//! Orders to upstreams.

use crate::{
    ids::{AdapterName, FencingNumber, ModelVersion, RequestId, UpstreamId},
    platform::CallToken,
    units::Tokens,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An order of an owner to its upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Pairs it with its answer.
    pub token: CallToken,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// The owner's fencing number.
    pub fencing: FencingNumber,
    /// What to do.
    pub kind: OrderKind,
}

/// What an upstream is to do. Each is idempotent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// End a request's stream and give its memory back; also for a request it does not know.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Load a model's version.
    LoadModel {
        /// The version.
        model: ModelVersion,
        /// Size of the weights.
        weights_bytes: u64,
    },
    /// Unload a model's version.
    UnloadModel {
        /// The version.
        model: ModelVersion,
    },
    /// Load an adapter beside a model.
    LoadAdapter {
        /// The model's version.
        model: ModelVersion,
        /// The adapter.
        adapter: AdapterName,
    },
    /// Change the engine's role.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Prefill a segment of a prompt and keep its KV for export.
    PrefillSegment {
        /// The request.
        request: RequestId,
        /// First token of the segment.
        from_tokens: Tokens,
        /// One past its last token.
        to_tokens: Tokens,
    },
    /// Import the KV of a request's segment from another engine.
    ImportKv {
        /// The request.
        request: RequestId,
        /// The engine that exports it.
        source: SocketAddr,
        /// First token of the segment.
        from_tokens: Tokens,
        /// One past its last token.
        to_tokens: Tokens,
    },
}

impl OrderKind {
    /// Whether the upstream answers only when work that takes seconds or minutes is done.
    pub const fn is_long(&self) -> bool {
        matches!(
            self,
            Self::ImportKv { .. }
                | Self::LoadAdapter { .. }
                | Self::LoadModel { .. }
                | Self::PrefillSegment { .. }
        )
    }
}

/// What work an engine takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}
