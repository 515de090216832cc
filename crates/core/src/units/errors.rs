//! Errors of parsing and validating units.

use thiserror::Error;

/// Why a text or number is not a valid value of a unit.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum UnitError {
    /// The text is not a number.
    #[error("{kind} {text:?} is no number: give a decimal number")]
    Number {
        /// The unit.
        kind: &'static str,
        /// The invalid text.
        text: String,
    },
    /// The number is outside the allowed range.
    #[error("{kind} {value} is out of range: give a finite number {least}")]
    Range {
        /// The unit.
        kind: &'static str,
        /// The invalid number.
        value: f64,
        /// The allowed numbers, as `above zero`.
        least: &'static str,
    },
}
