//! API keys and who holds them.

use crate::ids::WorkspaceId;
use std::{fmt, sync::Arc};

/// A caller's API key. It is a secret: neither logs nor debug output show it.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Its text, for the wire only.
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
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Rank of its calls, 0 first. Goes before the route's rank.
    pub priority: Option<u8>,
}
