//! How a transmission to an upstream ended.

use serde::Serialize;

/// How a transmission to an upstream ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum SendEnd {
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

impl SendEnd {
    /// Whether the upstream may have run the request.
    pub const fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::Busy | Self::NotSent { .. } | Self::Failed { not_run: true, .. }
        )
    }
}
