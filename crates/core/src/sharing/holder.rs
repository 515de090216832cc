//! Who a share belongs to.

use crate::ids::{IdError, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Name of [`ShareHolder::Unknown`] in logs. No workspace can have it.
const UNKNOWN_NAME: &str = "(unknown)";

/// The holder of a share of a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ShareHolder {
    /// A workspace that the catalog knows.
    Workspace(WorkspaceId),
    /// All calls without a known workspace.
    Unknown,
}

impl fmt::Display for ShareHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(workspace) => workspace.fmt(f),
            Self::Unknown => f.write_str(UNKNOWN_NAME),
        }
    }
}

impl FromStr for ShareHolder {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text == UNKNOWN_NAME {
            return Ok(Self::Unknown);
        }
        text.parse().map(Self::Workspace)
    }
}
