//! Range checks of entry settings. Every number has a range, and the error message names the
//! allowed values.

use insta::assert_snapshot;
use persimmon_core::{
    claim::RawClaimSettings,
    entry::{EntrySettings, RawEntrySettings},
};
use serde_json::{json, Map, Value};

fn refusal(raw: RawEntrySettings) -> String {
    match EntrySettings::try_from(raw) {
        Ok(_) => "accepted".into(),
        Err(error) => error.to_string(),
    }
}

fn with(key: &str, value: u64) -> RawEntrySettings {
    let mut raw = serde_json::to_value(RawEntrySettings::default()).expect("settings");
    let (section, key) = match key.strip_prefix("claims.") {
        Some(key) => (&mut raw["claims"], key),
        None => (&mut raw, key),
    };
    section[key] = value.into();
    serde_json::from_value(raw).expect("settings")
}

fn keys() -> Vec<String> {
    let raw = serde_json::to_value(RawEntrySettings::default()).expect("settings");
    let names = |section: &Value| -> Vec<String> {
        let fields: &Map<String, Value> = section.as_object().expect("section");
        let numbers = fields.iter().filter(|(_, value)| value.is_number());
        numbers.map(|(key, _)| key.clone()).collect()
    };
    let claims = names(&raw["claims"]).into_iter();
    let claims = claims.map(|key| format!("claims.{key}"));
    names(&raw).into_iter().chain(claims).collect()
}

#[test]
fn every_number_has_an_upper_bound() {
    for key in keys() {
        let text = refusal(with(&key, u32::MAX.into()));
        let start = format!("entry.{key} is {}: give ", u32::MAX);
        assert!(text.starts_with(&start), "{key}: {text}");
    }
}

#[test]
fn errors_name_key_value_and_remedy() {
    assert_snapshot!(refusal(with("token_gap_ms", 9)), @"entry.token_gap_ms is 9: give 10 to 600000");
    assert_snapshot!(refusal(with("claims.poll_ms", 0)), @"entry.claims.poll_ms is 0: give 10 to 60000");
    assert_snapshot!(refusal(with("token_gap_ms", 10)), @"accepted");
    assert_snapshot!(refusal(with("token_gap_ms", 600_000)), @"accepted");
}

#[test]
fn unknown_keys_are_refused() {
    let error = serde_json::from_value::<RawClaimSettings>(json!({"pol_ms": 1}));
    assert!(error.is_err_and(|error| error.to_string().contains("pol_ms")));
}
