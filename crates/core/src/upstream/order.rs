//! Orders: control commands from an owner to its upstream.

use crate::{
    ids::{AdapterName, FencingNumber, ModelVersion, RequestId, UpstreamId},
    platform::CallToken,
    units::Tokens,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A control command from an owner to its upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Matches the order with its answer.
    pub token: CallToken,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// The owner's fencing number.
    pub fencing: FencingNumber,
    /// The command.
    pub kind: OrderKind,
}

/// A control command. All of them are idempotent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// End a request's stream and free its memory. Succeeds for unknown requests too.
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
    /// Load an adapter for a loaded model.
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
    /// Prefill a segment of a prompt and keep its KV cache for export.
    PrefillSegment {
        /// The request.
        request: RequestId,
        /// First token of the segment.
        from_tokens: Tokens,
        /// One past its last token.
        to_tokens: Tokens,
    },
    /// Import the KV cache of a prompt segment from another engine.
    ImportKv {
        /// The request.
        request: RequestId,
        /// Address of the engine that exports it.
        source: SocketAddr,
        /// First token of the segment.
        from_tokens: Tokens,
        /// One past its last token.
        to_tokens: Tokens,
    },
}

impl OrderKind {
    /// Whether the upstream answers only after work that takes seconds or minutes.
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

/// The phases of inference that an engine runs.
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
