//! Classes of prompt lengths.

use persimmon_core::units::Tokens;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A class of prompt lengths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LengthClass {
    /// Up to 2,000 tokens.
    UpTo2k,
    /// Up to 16,000 tokens.
    UpTo16k,
    /// Up to 100,000 tokens.
    UpTo100k,
    /// More than 100,000 tokens.
    Over100k,
}

impl LengthClass {
    /// All classes, shortest first.
    pub const ALL: [Self; 4] = [Self::UpTo2k, Self::UpTo16k, Self::UpTo100k, Self::Over100k];
}

impl From<Tokens> for LengthClass {
    fn from(prompt: Tokens) -> Self {
        match prompt.get() {
            0..=2_000 => Self::UpTo2k,
            2_001..=16_000 => Self::UpTo16k,
            16_001..=100_000 => Self::UpTo100k,
            _ => Self::Over100k,
        }
    }
}

impl fmt::Display for LengthClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UpTo2k => "<=2k",
            Self::UpTo16k => "2k-16k",
            Self::UpTo100k => "16k-100k",
            Self::Over100k => ">100k",
        })
    }
}
