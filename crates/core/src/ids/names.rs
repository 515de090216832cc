//! Identifiers that are names.

use super::IdError;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::{fmt, str::FromStr, sync::Arc};

/// Maximum length of a name, in bytes.
const NAME_MAX_LEN: usize = 128;

fn check(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > NAME_MAX_LEN {
        return Err(IdError::TooLong {
            kind,
            len: text.len(),
        });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:@/".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(character) => Err(IdError::Character { kind, character }),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }
    };
}

name!(
    /// A low-rank adapter (LoRA) that an engine can load for a model.
    AdapterName,
    "adapter"
);
name!(
    /// A failure domain.
    FailureDomain,
    "failure domain"
);
name!(
    /// The key under which a non-idempotent call runs at most once, even if it is sent again.
    IdempotencyKey,
    "idempotency key"
);
name!(
    /// A model without its version.
    ModelName,
    "model"
);
name!(
    /// An operator.
    OperatorName,
    "operator"
);
name!(
    /// A plan: the proposed configuration change for an operator's intent.
    PlanId,
    "plan id"
);
name!(
    /// A plain service, as opposed to a model.
    ServiceName,
    "service"
);
name!(
    /// An upstream: a model engine or one server of a plain service.
    UpstreamId,
    "upstream"
);
name!(
    /// A VM that runs one daemon.
    VmId,
    "VM"
);
name!(
    /// A workspace: the unit among which capacity is shared fairly.
    WorkspaceId,
    "workspace"
);

/// A model with its version, written `model@version`.
#[derive(Clone, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct ModelVersion {
    text: Arc<str>,
    name_len: usize,
}

impl ModelVersion {
    /// The model without its version.
    pub fn name(&self) -> ModelName {
        ModelName(self.text[..self.name_len].into())
    }

    /// Whether this is a version of `name`.
    pub fn is_of(&self, name: &ModelName) -> bool {
        &self.text[..self.name_len] == name.as_str()
    }

    /// The model version as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Debug for ModelVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl fmt::Display for ModelVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl FromStr for ModelVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        check("model version", text)?;
        match text.split_once('@') {
            Some((name, version)) if !name.is_empty() && !version.is_empty() => Ok(Self {
                text: text.into(),
                name_len: name.len(),
            }),
            _ => Err(IdError::NoVersion { text: text.into() }),
        }
    }
}
