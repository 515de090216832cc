//! A fake platform: table service, object store and list of VMs, in memory.

use super::{answer, body, serve};
use persimmon_core::platform::{Condition, ObjectOp, TableAnswer, TableOp, VmRecord, Write};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
};
use tiny_http::Request;

#[derive(Default)]
struct Store {
    rows: BTreeMap<String, bytes::Bytes>,
    objects: BTreeMap<String, bytes::Bytes>,
}

/// A running fake platform.
pub(crate) struct Platform {
    pub(crate) address: SocketAddr,
    down: Arc<AtomicBool>,
}

impl Platform {
    pub(crate) fn start() -> Self {
        let store = Mutex::new(Store::default());
        let down = Arc::new(AtomicBool::new(false));
        let is_down = Arc::clone(&down);
        let address = serve(move |request| match is_down.load(Ordering::Relaxed) {
            true => answer(request, 503, &()),
            false => store.lock().unwrap().serve(request),
        });
        Self { address, down }
    }

    /// Sets whether all calls are refused.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }
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
