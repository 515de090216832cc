//! Positions in the history of the platform's store.

use crate::ids::{IdError, StoreEra, StoreVersion};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Separates era and version in the text form.
const SEPARATOR: char = '.';

/// A point in the history of the platform's store. Versions are comparable only within an era: after
/// a restore from a copy, the store gives out versions again for other content. So positions are
/// ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The version within the era.
    pub version: StoreVersion,
}

impl StorePosition {
    /// The lowest position.
    pub const START: Self = Self::new(StoreEra::new(0), StoreVersion::new(0));

    /// The position of a version in an era.
    pub const fn new(era: StoreEra, version: StoreVersion) -> Self {
        Self { era, version }
    }

    /// Whether the changes after `other` are a continuation of the history up to this position.
    pub fn continues_at(self, other: Self) -> bool {
        self.era == other.era && self.version >= other.version
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}{}", self.era, self.version)
    }
}

impl FromStr for StorePosition {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (era, version) = text.split_once(SEPARATOR).ok_or_else(|| IdError::Number {
            kind: "store position",
            text: text.into(),
        })?;
        Ok(Self::new(era.parse()?, version.parse()?))
    }
}
