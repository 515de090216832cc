//! Changes read from the platform's store, and errors of calls to it.

use super::StorePosition;
use crate::{
    catalog::RawCatalog,
    fleet::UpstreamRecord,
    ids::{FailureDomain, UpstreamId},
    message::Member,
};
use thiserror::Error;

/// A part of the store that is watched on its own.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// What operators write: the catalog and the failure domains that are out of service.
    Operators,
    /// The registered upstreams.
    Upstreams,
}

impl Topic {
    /// Name used in logs and metrics.
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
    /// Operators returned a failure domain to service.
    DomainReturned(FailureDomain),
    /// An upstream registered or renewed its entry.
    Upstream(Box<UpstreamRecord>),
    /// An upstream's entry was removed.
    UpstreamRemoved(UpstreamId),
    /// A daemon's entry.
    Member(Box<Member>),
    /// A row that could not be parsed.
    Unreadable {
        /// Its key.
        key: String,
        /// The parse error.
        reason: String,
    },
}

/// An answer of the store for a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Position of the store that the answer reflects.
    pub position: StorePosition,
    /// Position after which `changes` lists all changes; none if it lists all entries.
    pub after: Option<StorePosition>,
    /// Whether the answer had rows. Those that mean nothing here are not among `changes`.
    pub has_rows: bool,
    /// The entries or changes, oldest first.
    pub changes: Vec<Change>,
}

impl Batch {
    /// Whether it lists all entries.
    pub const fn is_snapshot(&self) -> bool {
        self.after.is_none()
    }

    /// Whether it shows that nothing is newer than its position. The store returns all entries as of one moment, and
    /// no rows only if there are none. Changes may be the first of many: the store bounds its answers.
    pub const fn shows_latest(&self) -> bool {
        self.is_snapshot() || !self.has_rows
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store refused the call without any effect: it is overloaded or rejects this daemon.
    #[error("the store refused the call with status {status}: it is retried later")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The store no longer keeps the changes since the requested version.
    #[error("the store dropped the history: all entries are read again")]
    HistoryGone,
    /// A condition of a write did not hold.
    #[error("the store holds other versions than expected: read and decide again")]
    Conflict,
    /// No answer arrived. A write may have taken effect.
    #[error(
        "no answer from the store ({reason}): a write may have been done, read before retrying"
    )]
    Lost {
        /// The transport error.
        reason: String,
    },
    /// The answer could not be parsed.
    #[error("the store's answer is malformed ({reason}): check its version")]
    Malformed {
        /// The parse error.
        reason: String,
    },
}
