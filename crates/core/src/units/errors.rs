//! Errors of units.

use thiserror::Error;

/// Why a text or number is no value of a unit.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum UnitError {
    /// The text is no number.
    #[error("{kind} {text:?} is no number: give a decimal number")]
    Number {
        /// The unit.
        kind: &'static str,
        /// The refused text.
        text: String,
    },
    /// The number is outside the allowed range.
    #[error("{kind} {value} is out of range: give a finite number above zero")]
    Range {
        /// The unit.
        kind: &'static str,
        /// The refused number.
        value: f64,
    },
}
