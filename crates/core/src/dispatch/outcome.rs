//! How a transmission to an upstream ended.

use crate::ids::UpstreamId;
use serde::Serialize;
use std::{net::SocketAddr, str::FromStr};

/// The upstream that an answer names as the one at fault, which may be one that helps.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Culprit {
    /// The one that listens there.
    At(SocketAddr),
    /// The one with this id.
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

/// How a transmission to an upstream ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum SendOutcome {
    /// The caller has the whole answer.
    Delivered,
    /// The upstream answered with a failure, which the traffic side keeps until it is decided.
    Failed {
        /// The status.
        status: u16,
        /// The upstream says that it has not run the request.
        not_run: bool,
        /// Another upstream has the address.
        wrong_upstream: bool,
        /// The upstream that the answer names as the one at fault.
        #[serde(skip_serializing_if = "Option::is_none")]
        culprit: Option<Culprit>,
    },
    /// This daemon has as many connections to the upstream as it may: nothing was sent.
    Busy,
    /// Nothing reached the upstream.
    NotSent {
        /// What happened.
        reason: String,
    },
    /// It was sent, and no whole answer came.
    Lost {
        /// What happened.
        reason: String,
        /// Whether the upstream was silent for too long, rather than broke off.
        stalled: bool,
    },
}

impl SendOutcome {
    /// Whether the upstream may have run the request.
    pub const fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::Busy | Self::NotSent { .. } | Self::Failed { not_run: true, .. }
        )
    }
}
