//! Shows what happened to one request, from the daemons' logs.

use crate::{args::ExplainArgs, CtlError};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
};

/// Prefix of the line that decided the outcome.
const DECISIVE_MARK: &str = "=> ";

/// Prefix of all other lines, of the same width.
const NO_MARK: &str = "   ";

/// Prefix of lines that are not about the request, but about what the daemon knew at the time.
const CONTEXT_MARK: &str = " ~ ";

/// Changes of what a daemon knows that stay in force until the next one of their kind. The last ones
/// before the request's outcome are shown with it.
const CONTEXT_MESSAGES: [&str; 5] = [
    "links",
    "store_restored",
    "catalog_held",
    "domain_held",
    "fingerprint_quarantined",
];

/// Changes of an upstream, shown if they concern an upstream that the request was sent to and happened
/// while the request was open.
const UPSTREAM_MESSAGES: [&str; 4] = [
    "upstream_leaving",
    "upstream_backoff",
    "upstream_rate_limit",
    "upstream_crashed",
];

/// Fields that identify the request and the daemon. The heading shows them, so the lines don't.
const HEADING_FIELDS: [&str; 2] = ["request", "vm"];

/// A line of a daemon's JSON log.
#[derive(Debug, Deserialize)]
struct LogLine {
    message: String,
    #[serde(default, rename = "kvs")]
    fields: Map<String, Value>,
    #[serde(skip)]
    is_context: bool,
}

impl LogLine {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn is_about(&self, request: &str) -> bool {
        let ticket = self.text("ticket");
        self.text("request") == Some(request)
            || ticket.is_some_and(|ticket| ticket.starts_with(request))
    }
}

/// Reports the log lines about one request, by daemon and in the order in which the daemon wrote them.
/// A request belongs to one daemon, so clock differences between daemons do not matter.
///
/// # Errors
///
/// A log can't be read, or no line is about the request.
pub fn explain(args: &ExplainArgs) -> Result<String, CtlError> {
    let mut report = String::new();
    for log in &args.logs {
        let lines = request_lines(log, &args.request)?;
        if lines.is_empty() {
            continue;
        }
        let vm = lines
            .iter()
            .find_map(|line| line.fields.get("vm")?.as_str());
        let vm = vm.unwrap_or("a daemon without a name");
        report.push_str(&format!(
            "request {} at {vm} ({})\n",
            args.request,
            log.display()
        ));
        let decisive = decisive_index(&lines);
        for (index, line) in lines.iter().enumerate() {
            let mark = if line.is_context {
                CONTEXT_MARK
            } else if Some(index) == decisive {
                DECISIVE_MARK
            } else {
                NO_MARK
            };
            report.push_str(&format!("{mark}{}{}\n", line.message, format_fields(line)));
        }
    }
    if report.is_empty() {
        let request = args.request.clone();
        return Err(CtlError::NoSuchRequest { request });
    }
    Ok(report)
}

/// Index of the line that decided the outcome: the last failed send where the request was refused,
/// otherwise the line with the outcome, or the last failed send where no outcome was logged.
fn decisive_index(lines: &[LogLine]) -> Option<usize> {
    let failure = lines.iter().rposition(|line| line.message == "send_failed");
    let outcome = lines.iter().rposition(|line| {
        matches!(
            line.message.as_str(),
            "refused" | "memory_refused" | "answered" | "caller_left"
        )
    });
    match (failure, outcome) {
        (Some(failure), Some(outcome)) if lines[outcome].message == "refused" => Some(failure),
        (_, outcome) => outcome.or(failure),
    }
}

/// The lines about a request, and those about what the daemon knew while it handled the request.
fn request_lines(log: &Path, request: &str) -> Result<Vec<LogLine>, CtlError> {
    let unreadable = |source| CtlError::File {
        path: log.into(),
        source,
    };
    let mut found: Vec<LogLine> = Vec::new();
    let mut context: Vec<LogLine> = Vec::new();
    for line in BufReader::new(File::open(log).map_err(unreadable)?).lines() {
        let line = line.map_err(unreadable)?;
        let mut messages = CONTEXT_MESSAGES.iter().chain(&UPSTREAM_MESSAGES);
        let may_matter = line.contains(request) || messages.any(|message| line.contains(message));
        if !may_matter {
            continue;
        }
        // Other programs may write to the same file: skips lines that are not in the daemon's format.
        let Ok(mut line) = serde_json::from_str::<LogLine>(&line) else {
            continue;
        };
        if line.is_about(request) {
            found.append(&mut context);
            found.push(line);
            continue;
        }
        line.is_context = true;
        if CONTEXT_MESSAGES.contains(&line.message.as_str()) {
            context.retain(|earlier| earlier.message != line.message);
            context.push(line);
        } else if concerns_upstream_of(&found, &line) {
            context.push(line);
        }
    }
    if found.iter().all(|line| line.is_context) {
        found.clear();
    }
    Ok(found)
}

/// Whether a line concerns an upstream that the request was sent to.
fn concerns_upstream_of(found: &[LogLine], line: &LogLine) -> bool {
    let mut sent = found.iter().filter(|line| line.message == "sent");
    UPSTREAM_MESSAGES.contains(&line.message.as_str())
        && sent.any(|sent| sent.text("upstream") == line.text("upstream"))
}

fn format_fields(line: &LogLine) -> String {
    let shown = line
        .fields
        .iter()
        .filter(|(name, _)| !HEADING_FIELDS.contains(&name.as_str()));
    let shown = shown.map(|(name, value)| match value {
        Value::String(text) => format!(" {name}={text}"),
        other => format!(" {name}={other}"),
    });
    shown.collect()
}
