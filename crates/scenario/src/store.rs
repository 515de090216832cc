//! An in-memory table service and object store.

use bytes::Bytes;
use persimmon_core::{
    platform::{Condition, ObjectOp, PlatformError, TableAnswer, TableKey, TableOp, Write},
    units::Millis,
};
use std::collections::BTreeMap;

/// A call of the platform's store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// A call of the table service.
    Table(TableOp),
    /// A call of the object store.
    Object(ObjectOp),
}

/// The injected fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call fails as unavailable and has no effect.
    Down,
    /// Answers are delayed by this time.
    Slow(Millis),
    /// Calls take effect and their answers are lost.
    LosesAnswers,
}

/// An in-memory table service and object store.
#[derive(Debug, Default)]
pub struct Store {
    /// The injected fault.
    pub fault: StoreFault,
    /// Rows of the table service.
    pub rows: BTreeMap<TableKey, Bytes>,
    objects: BTreeMap<String, Bytes>,
    /// Whether transactions are applied without checking their conditions, as a deliberate defect.
    pub ignores_conditions: bool,
    /// Number of transactions that took effect.
    pub writes_count: u64,
    /// Number of all calls.
    pub calls_count: u64,
}

impl Store {
    /// Executes a call.
    ///
    /// # Errors
    ///
    /// The store is down, or its answer is lost.
    pub fn call(&mut self, call: &StoreCall) -> Result<TableAnswer, PlatformError> {
        self.calls_count += 1;
        if self.fault == StoreFault::Down {
            return Err(PlatformError::Unavailable);
        }
        let answer = match call {
            StoreCall::Table(op) => self.table(op),
            StoreCall::Object(op) => self.object(op),
        };
        match self.fault {
            StoreFault::LosesAnswers => Err(PlatformError::AnswerLost),
            _ => Ok(answer),
        }
    }

    fn table(&mut self, op: &TableOp) -> TableAnswer {
        match op {
            TableOp::Get { key } => TableAnswer::Value(self.rows.get(key).cloned()),
            TableOp::Scan {
                prefix,
                after,
                limit_len,
            } => {
                let is_after = |key: &&String| after.as_ref().is_none_or(|after| *key > after);
                let found = self.rows.iter();
                let found = found.filter(|(key, _)| key.starts_with(prefix) && is_after(key));
                let found = found.take(*limit_len as usize);
                TableAnswer::Rows(found.map(|(k, v)| (k.clone(), v.clone())).collect())
            }
            TableOp::Transact { conditions, writes } => self.transact(conditions, writes),
        }
    }

    fn transact(&mut self, conditions: &[Condition], writes: &[Write]) -> TableAnswer {
        let holds = conditions.iter().all(|condition| match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Equals { key, value } => self.rows.get(key) == Some(value),
        });
        if !holds && !self.ignores_conditions {
            return TableAnswer::Conflict;
        }
        self.writes_count += 1;
        for write in writes {
            match write {
                Write::Put { key, value } => self.rows.insert(key.clone(), value.clone()),
                Write::Delete { key } => self.rows.remove(key),
            };
        }
        TableAnswer::Done
    }

    fn object(&mut self, op: &ObjectOp) -> TableAnswer {
        match op {
            ObjectOp::Get { key } => TableAnswer::Value(self.objects.get(key).cloned()),
            ObjectOp::Put { key, value } => {
                self.objects.insert(key.clone(), value.clone());
                TableAnswer::Done
            }
        }
    }
}
