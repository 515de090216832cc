//! Tells a request's story from the daemons' logs.

use crate::{args::ExplainArgs, CtlError};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
};

/// Mark of the line that decided the outcome.
const DECISIVE: &str = "=> ";

/// Space before all other lines.
const OTHER: &str = "   ";

/// Fields that name the request and the daemon: they stand in the heading.
const IN_HEADING: [&str; 2] = ["request", "vm"];

/// A log line.
#[derive(Debug, Deserialize)]
struct Line {
    message: String,
    #[serde(default, rename = "kvs")]
    fields: Map<String, Value>,
}

/// The story of one request: its lines by daemon, in the order in which each daemon wrote them. A
/// request is one daemon's, so clocks that differ do not matter.
///
/// # Errors
///
/// A log can't be read, or none is about the request.
pub fn explain(args: &ExplainArgs) -> Result<String, CtlError> {
    let mut story = String::new();
    for log in &args.logs {
        let lines = lines_about(log, &args.request)?;
        if lines.is_empty() {
            continue;
        }
        let vm = lines
            .iter()
            .find_map(|line| line.fields.get("vm")?.as_str());
        let vm = vm.unwrap_or("a daemon without a name");
        story.push_str(&format!(
            "request {} at {vm} ({})\n",
            args.request,
            log.display()
        ));
        let decisive = decisive(&lines);
        for (index, line) in lines.iter().enumerate() {
            let mark = if Some(index) == decisive {
                DECISIVE
            } else {
                OTHER
            };
            story.push_str(&format!("{mark}{}{}\n", line.message, fields(line)));
        }
    }
    if story.is_empty() {
        let request = args.request.clone();
        return Err(CtlError::NoSuchRequest { request });
    }
    Ok(story)
}

/// The last failure before the last word; the last word itself where there was none.
fn decisive(lines: &[Line]) -> Option<usize> {
    let failure = lines.iter().rposition(|line| line.message == "send_failed");
    let word = lines.iter().rposition(|line| {
        matches!(
            line.message.as_str(),
            "refused" | "answered" | "caller_left"
        )
    });
    match (failure, word) {
        (Some(failure), Some(word)) if lines[word].message == "refused" => Some(failure),
        (_, word) => word.or(failure),
    }
}

fn lines_about(log: &Path, request: &str) -> Result<Vec<Line>, CtlError> {
    let unreadable = |source| CtlError::File {
        path: log.into(),
        source,
    };
    let mut found = Vec::new();
    for line in BufReader::new(File::open(log).map_err(unreadable)?).lines() {
        let line = line.map_err(unreadable)?;
        if !line.contains(request) {
            continue;
        }
        // Other programs may write to the same file: what is no log line is not the daemon's.
        let Ok(line) = serde_json::from_str::<Line>(&line) else {
            continue;
        };
        if is_about(&line, request) {
            found.push(line);
        }
    }
    Ok(found)
}

fn is_about(line: &Line, request: &str) -> bool {
    let text = |name: &str| line.fields.get(name).and_then(Value::as_str);
    text("request") == Some(request)
        || text("ticket").is_some_and(|ticket| ticket.starts_with(request))
}

fn fields(line: &Line) -> String {
    let shown = line
        .fields
        .iter()
        .filter(|(name, _)| !IN_HEADING.contains(&name.as_str()));
    let shown = shown.map(|(name, value)| match value {
        Value::String(text) => format!(" {name}={text}"),
        other => format!(" {name}={other}"),
    });
    shown.collect()
}
