//! Distribution of the configuration between daemons.

use crate::{
    config::{ChangeRecord, Configuration},
    ids::Generation,
};
use serde::{Deserialize, Serialize};

/// A message about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// New change records, in order of generation.
    Records(Vec<ChangeRecord>),
    /// A whole configuration.
    Snapshot(Box<Configuration>),
    /// Requests the changes after a generation.
    Pull {
        /// Generation that the sender applies.
        after: Generation,
    },
}
