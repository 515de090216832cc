//! Identifiers that are numbers.

use super::IdError;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Deserialize,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The next higher number.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let parsed = text.parse().map(Self);
                parsed.map_err(|_| IdError::Number { kind: $kind, text: text.into() })
            }
        }
    };
}

number!(
    /// The number of an attempt within its request, from 0.
    AttemptNumber,
    u32,
    "attempt"
);
number!(
    /// The hash of a prompt's prefix up to the end of one block, salted by workspace.
    BlockHash,
    u64,
    "block hash"
);
number!(
    /// The hash of a call's method, path and body.
    BodyHash,
    u64,
    "body hash"
);
number!(
    /// A fencing number. The owner of an upstream with the higher number takes precedence.
    FencingNumber,
    u64,
    "fencing number"
);
number!(
    /// A generation (version) of the configuration.
    Generation,
    u64,
    "generation"
);
number!(
    /// The incarnation of a process: a restart has a higher one.
    Incarnation,
    u64,
    "incarnation"
);
number!(
    /// Version of the operators' catalog of routes.
    CatalogVersion,
    u64,
    "catalog version"
);
number!(
    /// A caller's request, unique within the daemon that received it.
    CallId,
    u64,
    "call id"
);
number!(
    /// One transmission of a call to an upstream, unique within its daemon.
    SendId,
    u64,
    "send id"
);
number!(
    /// A request whose body a daemon receives, unique within the daemon.
    BodyId,
    u64,
    "body id"
);
number!(
    /// A connection of a client, unique within its listener.
    ConnectionId,
    u64,
    "connection id"
);
number!(
    /// A connection that a daemon passes on for a peer, unique within the daemon.
    RelayId,
    u64,
    "relay id"
);
number!(
    /// What several requests have in common, as a hash: a part of their prompts, or everything that a caller
    /// repeats with a request.
    Fingerprint,
    u64,
    "fingerprint"
);
number!(
    /// Version of the platform's store. Increases with each transaction.
    StoreVersion,
    u64,
    "store version"
);
number!(
    /// Era of the platform's store. Increases each time the store is restored from a copy, after which
    /// it gives versions out again.
    StoreEra,
    u64,
    "store era"
);

impl Fingerprint {
    /// The fingerprint of a prompt part to which callers give this id.
    pub fn of(id: &str) -> Self {
        Self::new(xxh3_64(id.as_bytes()))
    }

    /// The fingerprint of a request with these fields, in this order. The same on all daemons.
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        Self::new(hasher_of(fields).digest())
    }

    /// The fingerprint of a request with these fields and, as its last field, a body of `body_len` bytes in parts. The
    /// parts make no difference.
    pub fn of_fields_and_body<'a>(
        fields: &[&[u8]],
        body_len: usize,
        parts: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = hasher_of(fields);
        hasher.update(&(body_len as u64).to_le_bytes());
        parts.for_each(|part| hasher.update(part));
        Self::new(hasher.digest())
    }
}

fn hasher_of(fields: &[&[u8]]) -> Xxh3 {
    let mut hasher = Xxh3::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher
}
