//! One decision of the core as a log line.

use log::{
    kv::{self, Key, Source, Value, VisitSource},
    Level, Log,
};
use persimmon_core::{decision::Record, ids::VmId};
use serde::Serialize;
use serde_json::{Map, Value as Json};

/// Target of all decisions.
const TARGET: &str = "persimmon::decision";

/// Field of a serialized record that names its kind.
const KIND: &str = "event";

/// Field that names the daemon that decided.
const DAEMON: &str = "vm";

/// Field that names the VM that a record is about.
const MEMBER: &str = "member";

/// A decision of the core as a log line: its kind is the message, the rest are fields.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// How important it is.
    pub level: Level,
    /// The kind of decision.
    pub message: String,
    /// The fields of the record, in alphabetical order.
    pub fields: Map<String, Json>,
}

impl TryFrom<(&VmId, &Record)> for LogLine {
    type Error = serde_json::Error;

    fn try_from((vm, record): (&VmId, &Record)) -> Result<Self, serde_json::Error> {
        Self::new(vm, level(record), record)
    }
}

impl LogLine {
    /// The line of any record that is serialized with its kind as `event`.
    ///
    /// # Errors
    ///
    /// The record can't be serialized.
    pub fn new(
        vm: &VmId,
        level: Level,
        record: &impl Serialize,
    ) -> Result<Self, serde_json::Error> {
        let mut fields = match serde_json::to_value(record)? {
            Json::Object(fields) => flat(fields),
            other => Map::from_iter([("value".to_owned(), other)]),
        };
        let message = match fields.remove(KIND) {
            Some(Json::String(kind)) => kind,
            _ => "decision".into(),
        };
        if let Some(subject) = fields.insert(DAEMON.into(), vm.as_str().into()) {
            fields.insert(MEMBER.into(), subject);
        }
        Ok(Self {
            level,
            message,
            fields,
        })
    }

    /// Hands the line to `logger`.
    pub fn write(&self, logger: &dyn Log) {
        let fields = Fields(&self.fields);
        let mut record = log::Record::builder();
        record.level(self.level).target(TARGET).key_values(&fields);
        logger.log(&record.args(format_args!("{}", self.message)).build());
    }
}

struct Fields<'a>(&'a Map<String, Json>);

impl Source for Fields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        for (name, value) in self.0 {
            visitor.visit_pair(Key::from_str(name), field(value))?;
        }
        Ok(())
    }
}

fn field(value: &Json) -> Value<'_> {
    match value {
        Json::Bool(value) => Value::from(*value),
        Json::String(value) => Value::from(value.as_str()),
        Json::Number(number) => match (number.as_u64(), number.as_i64()) {
            (Some(value), _) => Value::from(value),
            (None, Some(value)) => Value::from(value),
            (None, None) => Value::from(number.as_f64().unwrap_or_default()),
        },
        Json::Null => Value::null(),
        Json::Array(_) | Json::Object(_) => Value::from_display(value),
    }
}

/// Lifts the fields of inner objects up, so that each field is a plain value. Absent ones go.
fn flat(fields: Map<String, Json>) -> Map<String, Json> {
    let mut plain = Map::new();
    for (name, value) in fields {
        match value {
            Json::Object(inner) => plain.extend(flat(inner)),
            Json::Null => {}
            value => {
                plain.insert(name, value);
            }
        }
    }
    plain
}

const fn level(record: &Record) -> Level {
    match record {
        Record::Alarm { .. } => Level::Error,
        Record::AttemptFailed { .. } => Level::Warn,
        _ => Level::Info,
    }
}
