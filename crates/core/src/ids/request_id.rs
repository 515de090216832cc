//! Identifiers of requests and their attempts.

use super::{AttemptNumber, IdError};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::{fmt, str::FromStr};

/// Id of a request, unique among all daemons: 128 random bits, written in hexadecimal.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct RequestId(u128);

impl RequestId {
    /// Wraps 128 bits.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let parsed = u128::from_str_radix(text, 16).map(Self);
        parsed.map_err(|_| IdError::Number {
            kind: "request id",
            text: text.into(),
        })
    }
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub number: AttemptNumber,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.number)
    }
}
