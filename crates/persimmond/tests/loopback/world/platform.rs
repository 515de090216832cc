//! The platform's table service, object store and list of VMs, in memory.

use super::{answer, body, serve};
use persimmon_core::platform::{Condition, ObjectOp, TableAnswer, TableOp, VmRecord, Write};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use tiny_http::Request;

#[derive(Default)]
struct Store {
    rows: BTreeMap<String, bytes::Bytes>,
    objects: BTreeMap<String, bytes::Bytes>,
}

/// Starts a platform.
pub(crate) fn start() -> SocketAddr {
    let store = Arc::new(Mutex::new(Store::default()));
    serve(move |request| store.lock().unwrap().serve(request))
}

impl Store {
    fn serve(&mut self, mut request: Request) {
        let body = body(&mut request);
        let reply = match request.url() {
            "/table" => self.table(serde_json::from_slice(&body).unwrap()),
            "/objects" => self.object(serde_json::from_slice(&body).unwrap()),
            _ => return answer(request, 200, &Vec::<VmRecord>::new()),
        };
        answer(request, 200, &reply);
    }

    fn table(&mut self, op: TableOp) -> TableAnswer {
        match op {
            TableOp::Get { key } => TableAnswer::Value(self.rows.get(&key).cloned()),
            TableOp::Scan {
                prefix,
                after,
                limit_len,
            } => {
                let rows = self.rows.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
                });
                let rows = rows.take(limit_len as usize);
                TableAnswer::Rows(rows.map(|(k, v)| (k.clone(), v.clone())).collect())
            }
            TableOp::Transact { conditions, writes } => {
                if !conditions.iter().all(|condition| self.holds(condition)) {
                    return TableAnswer::Conflict;
                }
                writes.into_iter().for_each(|write| self.write(write));
                TableAnswer::Done
            }
        }
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Equals { key, value } => self.rows.get(key) == Some(value),
        }
    }

    fn write(&mut self, write: Write) {
        match write {
            Write::Put { key, value } => drop(self.rows.insert(key, value)),
            Write::Delete { key } => drop(self.rows.remove(&key)),
        }
    }

    fn object(&mut self, op: ObjectOp) -> TableAnswer {
        match op {
            ObjectOp::Get { key } => TableAnswer::Value(self.objects.get(&key).cloned()),
            ObjectOp::Put { key, value } => {
                self.objects.insert(key, value);
                TableAnswer::Done
            }
        }
    }
}
