//! Range checks of settings.

use super::Millis;
use thiserror::Error;

/// A number of the settings that lies outside its range.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{section}.{key} is {value}: give {low} to {high}")]
pub struct RangeError {
    /// The section of the settings.
    pub section: &'static str,
    /// The setting.
    pub key: &'static str,
    /// Its value.
    pub value: u64,
    /// Lowest allowed.
    pub low: u64,
    /// Highest allowed.
    pub high: u64,
}

/// Checks the numbers of one section of the settings.
#[derive(Clone, Copy, Debug)]
pub struct RangeCheck(&'static str);

impl RangeCheck {
    /// Checks numbers of `section`, which the errors name.
    pub const fn new(section: &'static str) -> Self {
        Self(section)
    }

    /// The value, if it lies between `low` and `high`, both allowed.
    ///
    /// # Errors
    ///
    /// It lies outside.
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

    /// The span of `ms`, if it lies between `low` and `high`, both allowed.
    ///
    /// # Errors
    ///
    /// It lies outside.
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
