//! Outcomes of transmissions to upstreams.

use super::{AnswerOrigin, Doubt};
use crate::{ids::UpstreamId, path::PathAttempts, units::Millis};
use serde::Serialize;
use std::{net::SocketAddr, str::FromStr};

/// The upstream that an answer names as the cause of its failure. It may be one of the engines
/// that prefill part of the prompt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Culprit {
    /// The upstream that listens at this address.
    At(SocketAddr),
    /// The upstream with this id.
    Named(UpstreamId),
}

impl FromStr for Culprit {
    type Err = <UpstreamId as FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse() {
            Ok(address) => Ok(Self::At(address)),
            Err(_) => text.parse().map(Self::Named),
        }
    }
}

/// Outcome of a transmission to an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum SendOutcome {
    /// The caller has received the complete answer.
    Delivered,
    /// The upstream answered with an error response. The transport keeps the response until the
    /// dispatcher decides whether to relay it.
    Failed {
        /// The HTTP status.
        status: u16,
        /// Whether the answer proves that the upstream has not run the request.
        not_run: bool,
        /// Whether the answer came from another upstream that now has the address.
        wrong_upstream: bool,
        /// The upstream that the answer names as the cause.
        #[serde(skip_serializing_if = "Option::is_none")]
        culprit: Option<Culprit>,
        /// Time for which the upstream wants no more requests from this daemon.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<Millis>,
        /// What shows that the answer is this request's.
        #[serde(flatten)]
        origin: AnswerOrigin,
    },
    /// A response came that is not shown to be the upstream's answer to this request.
    Unproven {
        /// Its HTTP status.
        status: u16,
        /// Why it proves nothing.
        doubt: Doubt,
        /// What it was judged by.
        #[serde(flatten)]
        origin: AnswerOrigin,
        /// Time for which the upstream that sent it wants no more requests from this daemon.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<Millis>,
    },
    /// Nothing was sent: this daemon's connections to the upstream are all in use.
    Busy,
    /// The request did not reach the upstream.
    NotSent {
        /// Description of the error.
        reason: String,
        /// Whether connecting took too long: the upstream was not reached at all.
        timed_out: bool,
        /// The paths that were tried; none if the request was not sent on an open connection.
        attempts: PathAttempts,
    },
    /// The request was sent, and no complete answer came.
    Lost {
        /// Description of the error.
        reason: String,
        /// Whether the upstream was silent for too long. Otherwise the connection broke.
        stalled: bool,
    },
}

impl SendOutcome {
    /// Whether the upstream may have got the request, be it to refuse it.
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::Busy | Self::NotSent { .. })
    }

    /// Whether the upstream may have run the request.
    pub const fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::Busy | Self::NotSent { .. } | Self::Failed { not_run: true, .. }
        )
    }
}
