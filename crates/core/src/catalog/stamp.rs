//! Versions of the catalog across restores of the store.

use crate::ids::{CatalogVersion, StoreEra};
use serde::{Deserialize, Serialize};

/// The version of a catalog, and the latest era of the store that is known to have held it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogStamp {
    /// The era of the store.
    pub era: StoreEra,
    /// The catalog's version, which operators choose: it keeps increasing across eras.
    pub version: CatalogVersion,
}

impl CatalogStamp {
    /// Whether this catalog was read from a restored store that lacks the other, newer one.
    pub fn is_outdated_by(self, other: Self) -> bool {
        other.era < self.era && other.version > self.version
    }
}
