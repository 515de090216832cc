//! Sizes in bytes and tokens. Sums saturate.

use super::UnitError;
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    iter::Sum,
    ops::{Add, AddAssign, Sub, SubAssign},
    str::FromStr,
};

macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
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
        pub struct $name(u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Wraps a count.
            pub const fn new(count: u64) -> Self {
                Self(count)
            }

            /// The count.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The difference, or zero where `other` is larger.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                debug_assert!(self.0 >= other.0, "size underflow");
                self.saturating_sub(other)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
                values.fold(Self::ZERO, Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let parsed = text.parse().map(Self);
                parsed.map_err(|_| UnitError::Number { kind: $kind, text: text.into() })
            }
        }
    };
}

size!(
    /// A count of bytes.
    ByteCount,
    "bytes"
);
size!(
    /// Memory of an engine's key-value (KV) cache, in bytes.
    KvBytes,
    "KV bytes"
);
size!(
    /// A count of tokens.
    Tokens,
    "tokens"
);

impl Tokens {
    /// KV memory that this number of tokens needs.
    pub const fn kv_bytes(self, kv_bytes_per_token: KvBytes) -> KvBytes {
        KvBytes(self.0.saturating_mul(kv_bytes_per_token.0))
    }
}
