//! Range validation of settings.

use super::Millis;
use thiserror::Error;

/// A setting that is out of range.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{section}.{key} is {value}: give {low} to {high}")]
pub struct RangeError {
    /// The section of the settings.
    pub section: &'static str,
    /// The setting.
    pub key: &'static str,
    /// Its value.
    pub value: u64,
    /// Lowest allowed value.
    pub low: u64,
    /// Highest allowed value.
    pub high: u64,
}

/// Validates the numbers of one section of the settings.
#[derive(Clone, Copy, Debug)]
pub struct RangeCheck(&'static str);

impl RangeCheck {
    /// Creates a check for `section`, whose name appears in the errors.
    pub const fn new(section: &'static str) -> Self {
        Self(section)
    }

    /// Returns `value` if it is between `low` and `high`, inclusive.
    ///
    /// # Errors
    ///
    /// The value is out of range.
    pub fn number<N>(self, key: &'static str, value: N, low: N, high: N) -> Result<N, RangeError>
    where
        N: Copy + Into<u64> + PartialOrd,
    {
        if (low..=high).contains(&value) {
            return Ok(value);
        }
        Err(RangeError {
            section: self.0,
            key,
            value: value.into(),
            low: low.into(),
            high: high.into(),
        })
    }

    /// Returns the duration `ms` if it is between `low` and `high`, inclusive.
    ///
    /// # Errors
    ///
    /// The duration is out of range.
    pub fn span(
        self,
        key: &'static str,
        ms: u64,
        low: u64,
        high: u64,
    ) -> Result<Millis, RangeError> {
        self.number(key, ms, low, high).map(Millis::new)
    }
}
