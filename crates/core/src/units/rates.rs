//! Rates.

use super::{Millis, Tokens, UnitError};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

macro_rules! rate {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $least:literal, $is_allowed:expr) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "f64", try_from = "f64")]
        pub struct $name(f64);

        impl $name {
            /// The rate as a number.
            pub const fn get(self) -> f64 {
                self.0
            }
        }

        impl From<$name> for f64 {
            fn from(rate: $name) -> f64 {
                rate.0
            }
        }

        impl TryFrom<f64> for $name {
            type Error = UnitError;

            fn try_from(value: f64) -> Result<Self, UnitError> {
                let is_allowed: fn(f64) -> bool = $is_allowed;
                if value.is_finite() && is_allowed(value) {
                    Ok(Self(value))
                } else {
                    Err(UnitError::Range { kind: $kind, value, least: $least })
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:.1}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let number: Result<f64, _> = text.parse();
                number
                    .map_err(|_| UnitError::Number { kind: $kind, text: text.into() })
                    .and_then(Self::try_from)
            }
        }
    };
}

rate!(
    /// Bytes per second, greater than zero.
    BytesPerSecond,
    "bytes per second",
    "above zero",
    |value| value > 0.0
);
rate!(
    /// Requests per second, zero or more.
    RequestsPerSecond,
    "requests per second",
    "of zero or more",
    |value| value >= 0.0
);
rate!(
    /// Tokens per second, greater than zero.
    TokensPerSecond,
    "tokens per second",
    "above zero",
    |value| value > 0.0
);

impl TokensPerSecond {
    /// Time to process `tokens` at this rate, rounded up.
    pub fn time_for(self, tokens: Tokens) -> Millis {
        Millis::new((tokens.get() as f64 * 1000.0 / self.0).ceil() as u64)
    }
}
