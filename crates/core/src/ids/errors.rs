//! Errors of parsing identifiers.

use thiserror::Error;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The text is empty.
    #[error("{kind} is empty: give 1 to 128 characters")]
    Empty {
        /// Kind of identifier.
        kind: &'static str,
    },
    /// The text is too long.
    #[error("{kind} has {len} characters: give at most 128")]
    TooLong {
        /// Kind of identifier.
        kind: &'static str,
        /// Length of the invalid text.
        len: usize,
    },
    /// The text has a character outside the allowed set.
    #[error("{kind} holds {character:?}: use letters, digits and any of - _ . : @ /")]
    Character {
        /// Kind of identifier.
        kind: &'static str,
        /// The first character that is not allowed.
        character: char,
    },
    /// The text is not a number.
    #[error("{kind} {text:?} is no number: give a decimal number")]
    Number {
        /// Kind of identifier.
        kind: &'static str,
        /// The invalid text.
        text: String,
    },
    /// The text has no `@version` part.
    #[error("model version {text:?} has no version: write it as model@version")]
    NoVersion {
        /// The invalid text.
        text: String,
    },
}
