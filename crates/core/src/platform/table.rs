//! The transactional table service and the object store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Pairs a call to the platform with its answer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct CallToken(u64);

/// The part of the core that made a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Component {
    /// Made outside the core, such as an operator's call.
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

/// Bits of a token below the part.
const TOKEN_NUMBER_BITS: u32 = 56;

impl CallToken {
    /// A token of `component`, numbered.
    pub const fn new(component: Component, number: u64) -> Self {
        Self(((component as u64) << TOKEN_NUMBER_BITS) | (number & ((1 << TOKEN_NUMBER_BITS) - 1)))
    }

    /// The part that made the call.
    pub fn component(self) -> Component {
        let index = (self.0 >> TOKEN_NUMBER_BITS) as usize;
        Component::ALL
            .get(index)
            .copied()
            .unwrap_or(Component::External)
    }
}

/// A row's key: path-like, such as `config/head`.
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
    /// Read rows by prefix, in key order, after `after`.
    Scan {
        /// What keys start with.
        prefix: String,
        /// Skip keys up to this one.
        after: Option<TableKey>,
        /// Most rows of the answer.
        limit_len: u32,
    },
    /// If every condition holds, do every write; else do nothing.
    Transact {
        /// What must hold.
        conditions: Vec<Condition>,
        /// What is written.
        writes: Vec<Write>,
    },
}

/// What must hold for a transaction to take effect.
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
    /// Set a row.
    Put {
        /// Its key.
        key: TableKey,
        /// Its value.
        value: Bytes,
    },
    /// Remove a row.
    Delete {
        /// Its key.
        key: TableKey,
    },
}

/// An answer of the table service or object store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TableAnswer {
    /// The value read, if the row or object exists.
    Value(Option<Bytes>),
    /// The rows found.
    Rows(Vec<(TableKey, Bytes)>),
    /// The transaction or object write took effect.
    Done,
    /// A condition did not hold: nothing was written.
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
