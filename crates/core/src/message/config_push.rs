//! Configuration between daemons.

use crate::{
    config::{ChangeRecord, Configuration},
    ids::Generation,
};
use serde::{Deserialize, Serialize};

/// A message about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// New change records, in order.
    Records(Vec<ChangeRecord>),
    /// A whole configuration.
    Snapshot(Box<Configuration>),
    /// Send me what comes after this generation.
    Pull {
        /// The sender's generation.
        after: Generation,
    },
}
