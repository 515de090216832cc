//! Reads a settings file.

use super::{
    object::Object, GatewaySettings, RawGatewaySettings, RawSettings, SettingError, Settings,
    SettingsError,
};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::Value;
use serde_path_to_error::{Path as KeyPath, Segment};
use std::{fs, path::Path};

/// Keys whose values are never shown.
const HIDDEN: &str = "operator_token";

/// Longest value that an error shows, in characters.
const SHOWN_MAX_LEN: usize = 80;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Names the file, the key, its value and the remedy.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    parse(file, &read(file)?)
}

/// Reads and checks the settings file of a gateway.
///
/// # Errors
///
/// As [`load`].
pub fn load_gateway(file: &Path) -> Result<GatewaySettings, SettingsError> {
    parse_as::<RawGatewaySettings, _>(file, &read(file)?)
}

fn read(file: &Path) -> Result<Vec<u8>, SettingsError> {
    let read = fs::read(file);
    read.map_err(|error| SettingsError::Unreadable {
        file: file.into(),
        reason: error.to_string(),
    })
}

/// Checks the content of a settings file.
///
/// # Errors
///
/// As [`load`].
pub fn parse(file: &Path, bytes: &[u8]) -> Result<Settings, SettingsError> {
    parse_as::<RawSettings, _>(file, bytes)
}

fn parse_as<Raw, Checked>(file: &Path, bytes: &[u8]) -> Result<Checked, SettingsError>
where
    Raw: DeserializeOwned,
    Checked: TryFrom<Raw, Error = SettingError>,
{
    let syntax = |error: serde_json::Error| SettingsError::Syntax {
        file: file.into(),
        reason: error.to_string(),
    };
    serde_json::from_slice::<IgnoredAny>(bytes).map_err(syntax)?;
    let mut source = serde_json::Deserializer::from_slice(bytes);
    let parsed = serde_path_to_error::deserialize(&mut source);
    let Object(raw): Object<Raw> = parsed.map_err(|error| SettingsError::Setting {
        file: file.into(),
        setting: data_error(error.path(), error.inner(), bytes),
    })?;
    let checked = Checked::try_from(raw);
    checked.map_err(|setting| SettingsError::Setting {
        file: file.into(),
        setting,
    })
}

fn data_error(path: &KeyPath, error: &serde_json::Error, bytes: &[u8]) -> SettingError {
    let whole: Value = serde_json::from_slice(bytes).unwrap_or_default();
    let key = path.to_string();
    let value = match find(&whole, path) {
        _ if key == HIDDEN => "(hidden)".into(),
        Some(value @ (Value::Array(_) | Value::Object(_))) => kind(value).into(),
        Some(value) => value.to_string().chars().take(SHOWN_MAX_LEN).collect(),
        None => "(absent)".into(),
    };
    SettingError {
        key,
        value,
        remedy: error.to_string(),
    }
}

const fn kind(value: &Value) -> &'static str {
    match value {
        Value::Array(_) => "[...]",
        _ => "{...}",
    }
}

fn find<'a>(whole: &'a Value, path: &KeyPath) -> Option<&'a Value> {
    path.iter().try_fold(whole, |value, segment| match segment {
        Segment::Map { key } => value.get(key),
        Segment::Seq { index } => value.get(index),
        Segment::Enum { .. } | Segment::Unknown => None,
    })
}
