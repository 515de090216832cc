//! Points in time and durations.

use super::UnitError;
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

/// A duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Zero duration.
    pub const ZERO: Self = Self(0);

    /// Wraps a number of milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Wraps a number of seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Converts to [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// The difference, or zero where `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let parsed = text.strip_suffix("ms").unwrap_or(text).parse().map(Self);
        parsed.map_err(|_| UnitError::Number {
            kind: "milliseconds",
            text: text.into(),
        })
    }
}

/// A point on a daemon's monotonic clock, in microseconds since its start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The clock's start.
    pub const START: Self = Self(0);

    /// Wraps a number of microseconds since the start.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Wraps a number of milliseconds since the start.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Microseconds since the start.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0) / 1000)
    }
}

impl Add<Millis> for Time {
    type Output = Self;

    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0.saturating_mul(1000)))
    }
}

impl Sub<Millis> for Time {
    type Output = Self;

    fn sub(self, span: Millis) -> Self {
        Self(self.0.saturating_sub(span.0.saturating_mul(1000)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl FromStr for Time {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix('s').unwrap_or(text).parse::<f64>();
        match number {
            Ok(secs) if secs.is_finite() && secs >= 0.0 => Ok(Self((secs * 1e6).round() as u64)),
            _ => Err(UnitError::Number {
                kind: "time",
                text: text.into(),
            }),
        }
    }
}
