//! What the store says.

use crate::{
    catalog::RawCatalog,
    fleet::UpstreamRecord,
    ids::{FailureDomain, StoreVersion, UpstreamId},
    message::Member,
};
use thiserror::Error;

/// A part of the store that is followed by itself.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// What operators write: the catalog, and failure domains out of service.
    Operators,
    /// The upstreams that registered themselves.
    Upstreams,
}

impl Topic {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Upstreams => "upstreams",
        }
    }
}

/// One change in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Operators wrote a catalog.
    Catalog(Box<RawCatalog>),
    /// Operators took a failure domain out of service.
    DomainWithdrawn(FailureDomain),
    /// Operators took a failure domain back.
    DomainReturned(FailureDomain),
    /// An upstream registered or renewed its entry.
    Upstream(Box<UpstreamRecord>),
    /// An upstream's entry was removed.
    UpstreamRemoved(UpstreamId),
    /// A daemon's entry.
    Member(Box<Member>),
    /// A row that makes no sense.
    Unreadable {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// An answer of the store about a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Version of the store that the answer is of.
    pub version: StoreVersion,
    /// Whether these are all entries, or just the changes since the version asked for.
    pub is_snapshot: bool,
    /// The entries or changes, oldest first.
    pub changes: Vec<Change>,
}

/// Why the store gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// It did nothing: it is overloaded or turns this daemon away.
    #[error("the store refused the call with status {status}: it is retried later")]
    Refused {
        /// The status.
        status: u16,
    },
    /// The history that was asked for is gone.
    #[error("the store dropped the history: all entries are read again")]
    HistoryGone,
    /// A condition of a write did not hold.
    #[error("the store holds other versions than expected: read and decide again")]
    Conflict,
    /// No answer: a write may have been done.
    #[error(
        "no answer from the store ({reason}): a write may have been done, read before retrying"
    )]
    Lost {
        /// What happened.
        reason: String,
    },
    /// An answer that makes no sense.
    #[error("the store's answer makes no sense ({reason}): check its version")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}
