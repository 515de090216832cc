//! Encoding of plans as rows of the table service, and transactions on them.

use crate::{
    config::{
        rows::{plan_key, record_key, HEAD},
        ChangeRecord,
    },
    ids::Generation,
    operator::{Plan, PlanState},
    platform::{Condition, TableKey, TableOp, Write},
};
use bytes::Bytes;

/// Encodes a row as JSON.
pub(super) fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Returns the transaction that stores a new plan.
pub(super) fn insert_plan(plan: &Plan) -> TableOp {
    let key = plan_key(&plan.id);
    TableOp::Transact {
        conditions: vec![Condition::Absent { key: key.clone() }],
        writes: vec![Write::Put {
            key,
            value: encode(plan),
        }],
    }
}

/// Returns the transaction that puts a plan in force. It requires that the head is still the plan's
/// base generation and that the plan's row is unchanged since it was read as `stored`.
pub(super) fn confirm_plan(plan: &Plan, stored: Bytes, record: &ChangeRecord) -> TableOp {
    let head = |generation: Generation| Bytes::from(generation.to_string());
    let base = plan.base_generation;
    let head_unchanged = match base == Generation::default() {
        true => Condition::Absent { key: HEAD.into() },
        false => Condition::Equals {
            key: HEAD.into(),
            value: head(base),
        },
    };
    let confirmed = Plan {
        state: PlanState::Confirmed,
        ..plan.clone()
    };
    let put = |key: String, value| Write::Put { key, value };
    TableOp::Transact {
        conditions: vec![
            head_unchanged,
            Condition::Equals {
                key: plan_key(&plan.id),
                value: stored,
            },
        ],
        writes: vec![
            put(HEAD.into(), head(record.generation)),
            put(record_key(record.generation), encode(record)),
            put(plan_key(&plan.id), encode(&confirmed)),
        ],
    }
}

/// Returns the transaction that marks a plan as superseded by another change.
pub(super) fn mark_superseded(plan: &Plan) -> TableOp {
    let key = plan_key(&plan.id);
    let superseded = Plan {
        state: PlanState::Superseded,
        ..plan.clone()
    };
    TableOp::Transact {
        conditions: vec![Condition::Equals {
            key: key.clone(),
            value: encode(plan),
        }],
        writes: vec![Write::Put {
            key,
            value: encode(&superseded),
        }],
    }
}

/// Returns the transaction that deletes rows, provided that they are unchanged since they were
/// read.
pub(super) fn delete_rows(rows: Vec<(TableKey, Bytes)>) -> TableOp {
    let writes = rows
        .iter()
        .map(|(key, _)| Write::Delete { key: key.clone() });
    let writes = writes.collect();
    let unchanged = |(key, value)| Condition::Equals { key, value };
    TableOp::Transact {
        conditions: rows.into_iter().map(unchanged).collect(),
        writes,
    }
}
