//! The documentation for callers lists every refusal code with its HTTP status.

use persimmon_core::request::RefusalCode;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/CALLERS.md");

#[test]
fn callers_page_lists_every_code_with_its_status() {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let listed: BTreeSet<String> = rows
        .map(|row| row.split('|').take(3).collect::<Vec<_>>().join("|"))
        .collect();
    let codes = RefusalCode::ALL.iter();
    let expected: BTreeSet<String> = codes
        .map(|code| format!("| `{code}` | {} ", code.status()))
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn list_of_codes_contains_every_variant() {
    let names: BTreeSet<String> = RefusalCode::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(names.len(), RefusalCode::ALL.len());
    let error = serde_json::from_str::<RefusalCode>("\"none\"").expect_err("no such code");
    let expected = error.to_string();
    for name in expected.split('`').skip(3).step_by(2) {
        assert!(names.contains(name), "{name} is missing: {expected}");
    }
}
