//! API keys and the workspaces that hold them.

use crate::ids::WorkspaceId;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// A caller's API key. It is secret, so its `Debug` output does not contain the key.
#[derive(Clone, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// The key as text. Only for comparing and sending it, never for logs.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// The workspace that holds a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Priority of its calls; 0 is the highest. Takes precedence over the route's priority.
    pub priority: Option<u8>,
}
