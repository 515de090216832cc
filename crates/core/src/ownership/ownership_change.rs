//! Ownership changes.

use crate::{
    ids::{FencingNumber, UpstreamId},
    units::Time,
};

/// A change of the upstreams that this daemon owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipChange {
    /// This daemon now owns the upstream, or owns it under a new, higher fencing number.
    Gained {
        /// The upstream.
        upstream: UpstreamId,
        /// The fencing number for grants and orders.
        fencing: FencingNumber,
        /// End of the learning period, in which outstanding grants of the previous owner are
        /// collected and new grants are held to a conservative limit.
        learning_until: Time,
    },
    /// This daemon no longer owns the upstream.
    Lost {
        /// The upstream.
        upstream: UpstreamId,
    },
}
