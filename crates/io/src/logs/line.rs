//! Log lines for decisions of the core.

use log::{
    kv::{self, Key, Source, Value, VisitSource},
    Level, Log,
};
use persimmon_core::{decision::Record, ids::VmId};
use serde::Serialize;
use serde_json::{Map, Value as Json};

/// Log target of all decisions.
const TARGET: &str = "persimmon::decision";

/// Field of a serialized record that holds its kind.
const KIND_FIELD: &str = "event";

/// Field for the VM of the daemon that made the decision.
const DAEMON_FIELD: &str = "vm";

/// Field for the VM that the record is about; its own `vm` field moves here.
const MEMBER_FIELD: &str = "member";

/// A decision of the core as a log line. The kind of the decision is the message, the rest are
/// fields.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Severity of the line.
    pub level: Level,
    /// Kind of the decision.
    pub message: String,
    /// Fields of the record, in alphabetical order.
    pub fields: Map<String, Json>,
}

impl TryFrom<(&VmId, &Record)> for LogLine {
    type Error = serde_json::Error;

    fn try_from((vm, record): (&VmId, &Record)) -> Result<Self, serde_json::Error> {
        Self::new(vm, level(record), record)
    }
}

impl LogLine {
    /// The line for a record that serializes its kind as `event`. `vm` is the VM of the daemon that
    /// made the decision.
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
            Json::Object(fields) => flatten(fields),
            other => Map::from_iter([("value".to_owned(), other)]),
        };
        let message = match fields.remove(KIND_FIELD) {
            Some(Json::String(kind)) => kind,
            _ => "decision".into(),
        };
        if let Some(subject) = fields.insert(DAEMON_FIELD.into(), vm.as_str().into()) {
            fields.insert(MEMBER_FIELD.into(), subject);
        }
        Ok(Self {
            level,
            message,
            fields,
        })
    }

    /// Writes the line to `logger`.
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
            visitor.visit_pair(Key::from_str(name), field_value(value))?;
        }
        Ok(())
    }
}

/// Converts a JSON value to a value of a log field. Arrays and objects become JSON text.
fn field_value(value: &Json) -> Value<'_> {
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

/// Replaces nested objects by their fields, so that each field is a plain value, and drops nulls.
fn flatten(fields: Map<String, Json>) -> Map<String, Json> {
    let mut plain = Map::new();
    for (name, value) in fields {
        match value {
            Json::Object(inner) => plain.extend(flatten(inner)),
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
