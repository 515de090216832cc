//! Plans as rows of the table service.

use crate::{
    config::{
        rows::{plan_key, record_key, HEAD},
        ChangeRecord,
    },
    ids::Generation,
    operator::{Plan, PlanState},
    platform::{Condition, TableOp, Write},
};
use bytes::Bytes;

/// A plan's row.
pub(super) fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// The transaction that stores a new plan.
pub(super) fn store(plan: &Plan) -> TableOp {
    let key = plan_key(&plan.id);
    TableOp::Transact {
        conditions: vec![Condition::Absent { key: key.clone() }],
        writes: vec![Write::Put {
            key,
            value: encode(plan),
        }],
    }
}

/// The transaction that puts a plan in force: the head is still its base, and the plan is open.
pub(super) fn confirm(plan: &Plan, stored: Bytes, record: &ChangeRecord) -> TableOp {
    let head = |generation: Generation| Bytes::from(generation.to_string());
    let base = plan.base_generation;
    let unmoved = match base == Generation::default() {
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
            unmoved,
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
