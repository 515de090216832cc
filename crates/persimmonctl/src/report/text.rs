//! Formats replies as text or JSON.

use super::{plan, status};
use persimmon_core::{config::ChangeRecord, operator::OperatorReply};

/// Formats a reply as indented JSON with a final newline.
pub fn json(reply: &OperatorReply) -> String {
    let text = serde_json::to_string_pretty(reply);
    text.map_or_else(
        |error| format!("{{\"error\": \"{error}\"}}\n"),
        |text| text + "\n",
    )
}

/// Formats a reply as human-readable text.
pub fn text(reply: &OperatorReply) -> String {
    match reply {
        OperatorReply::Status(report) => status::status(report),
        OperatorReply::Fleet(report) => status::fleet(report),
        OperatorReply::Config(config) => {
            serde_json::to_string_pretty(config).unwrap_or_default() + "\n"
        }
        OperatorReply::History(records) => records.iter().map(change_record).collect(),
        OperatorReply::Plan(plan) => plan::plan(plan),
        OperatorReply::Plans(plans) => plans.iter().map(plan::line).collect(),
        OperatorReply::Confirmed(report) => plan::confirmed(report),
        OperatorReply::Refused(error) => format!("refused: {error}\n"),
    }
}

fn change_record(record: &ChangeRecord) -> String {
    let change = plan::change(&record.change);
    format!(
        "generation {} by {} at {} (plan {}): {change}\n",
        record.generation, record.operator, record.confirmed_unix_ms, record.plan
    )
}
