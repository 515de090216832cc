//! The transactional table service and the object store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Matches a call to the platform or to an upstream with its answer, and names the component that
/// made the call.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct CallToken(u64);

/// The component that made a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Component {
    /// Outside the core, such as an operator's command.
    External,
    /// The configuration.
    Config,
    /// Plans.
    Plan,
    /// Claims of idempotency keys.
    Claim,
    /// Ownership of upstreams.
    Ownership,
    /// Grants.
    Grant,
    /// Placement of models.
    Placement,
}

impl Component {
    const ALL: [Self; 7] = [
        Self::External,
        Self::Config,
        Self::Plan,
        Self::Claim,
        Self::Ownership,
        Self::Grant,
        Self::Placement,
    ];
}

/// Number of low bits of a token that hold the call's number. The higher bits hold the component.
const TOKEN_NUMBER_BITS: u32 = 56;

impl CallToken {
    /// Creates the token of call `number` of `component`.
    pub const fn new(component: Component, number: u64) -> Self {
        Self(((component as u64) << TOKEN_NUMBER_BITS) | (number & ((1 << TOKEN_NUMBER_BITS) - 1)))
    }

    /// The component that made the call.
    pub fn component(self) -> Component {
        let index = (self.0 >> TOKEN_NUMBER_BITS) as usize;
        Component::ALL
            .get(index)
            .copied()
            .unwrap_or(Component::External)
    }
}

/// Key of a row, a path such as `config/head`.
pub type TableKey = String;

/// A call of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TableOp {
    /// Read one row.
    Get {
        /// Its key.
        key: TableKey,
    },
    /// Read the rows with a key prefix, in key order.
    Scan {
        /// The key prefix.
        prefix: String,
        /// Return only rows with greater keys.
        after: Option<TableKey>,
        /// Maximum number of rows to return.
        limit_len: u32,
    },
    /// Apply all writes atomically if all conditions hold; otherwise apply none.
    Transact {
        /// Conditions on rows.
        conditions: Vec<Condition>,
        /// Writes to apply.
        writes: Vec<Write>,
    },
}

/// Precondition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row is absent.
    Absent {
        /// Its key.
        key: TableKey,
    },
    /// The row has this value.
    Equals {
        /// Its key.
        key: TableKey,
        /// Its value.
        value: Bytes,
    },
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Insert or replace a row.
    Put {
        /// Its key.
        key: TableKey,
        /// Its value.
        value: Bytes,
    },
    /// Delete a row.
    Delete {
        /// Its key.
        key: TableKey,
    },
}

/// An answer of the table service or object store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TableAnswer {
    /// The value read; `None` if the row or object does not exist.
    Value(Option<Bytes>),
    /// The rows found.
    Rows(Vec<(TableKey, Bytes)>),
    /// The transaction or object write was applied.
    Done,
    /// A condition did not hold, so nothing was written.
    Conflict,
}

/// A call of the object store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectOp {
    /// Read an object.
    Get {
        /// Its key.
        key: String,
    },
    /// Write an object.
    Put {
        /// Its key.
        key: String,
        /// Its value.
        value: Bytes,
    },
}
