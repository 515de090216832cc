//! Changes of ownership.

use crate::{
    ids::{FencingNumber, UpstreamId},
    units::Time,
};

/// A change of what this daemon owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipChange {
    /// This daemon owns the upstream now, or owns it anew with a higher fencing number.
    Gained {
        /// The upstream.
        upstream: UpstreamId,
        /// The fencing number of its grants and orders.
        fencing: FencingNumber,
        /// Until then outstanding grants are collected and only a conservative limit is granted.
        learning_until: Time,
    },
    /// This daemon owns the upstream no more.
    Lost {
        /// The upstream.
        upstream: UpstreamId,
    },
}
