//! Replies as text or JSON.

use super::{plan, status};
use persimmon_core::{config::ChangeRecord, operator::OperatorReply};

/// A reply as JSON, with a newline.
pub fn json(reply: &OperatorReply) -> String {
    let text = serde_json::to_string_pretty(reply);
    text.map_or_else(
        |error| format!("{{\"error\": \"{error}\"}}\n"),
        |text| text + "\n",
    )
}

/// A reply as text for people.
pub fn text(reply: &OperatorReply) -> String {
    match reply {
        OperatorReply::Status(report) => status::status(report),
        OperatorReply::Fleet(report) => status::fleet(report),
        OperatorReply::Config(config) => {
            serde_json::to_string_pretty(config).unwrap_or_default() + "\n"
        }
        OperatorReply::History(records) => records.iter().map(record).collect(),
        OperatorReply::Plan(one) => plan::plan(one),
        OperatorReply::Plans(plans) => plans.iter().map(plan::line).collect(),
        OperatorReply::Confirmed(report) => plan::confirmed(report),
        OperatorReply::Refused(error) => format!("refused: {error}\n"),
    }
}

fn record(record: &ChangeRecord) -> String {
    let change = plan::change(&record.change);
    format!(
        "generation {} by {} at {} (plan {}): {change}\n",
        record.generation, record.operator, record.confirmed_unix_ms, record.plan
    )
}
