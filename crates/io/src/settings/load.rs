//! Reads settings files.

use super::{
    object::Object, GatewaySettings, RawGatewaySettings, RawSettings, SettingError, Settings,
    SettingsError,
};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::Value;
use serde_path_to_error::{Path as KeyPath, Segment};
use std::{fs, path::Path};

/// The key whose value errors must not show.
const SECRET_KEY: &str = "operator_token";

/// Errors show at most this many characters of a value.
const SHOWN_MAX_LEN: usize = 80;

/// Reads and validates the settings file of a daemon.
///
/// # Errors
///
/// The file can't be read, is not JSON, or holds an invalid setting. The message names the file,
/// the key, its value and how to correct it.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    parse(file, &read(file)?)
}

/// Reads and validates the settings file of a gateway.
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

/// Validates the content of a daemon's settings file. Errors name `file`, which is not read.
///
/// # Errors
///
/// As [`load`], without the errors of reading.
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
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let parsed = serde_path_to_error::deserialize(&mut deserializer);
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

/// The error for content that is JSON but does not deserialize: the key at `path` with its value.
fn data_error(path: &KeyPath, error: &serde_json::Error, bytes: &[u8]) -> SettingError {
    let content: Value = serde_json::from_slice(bytes).unwrap_or_default();
    let key = path.to_string();
    let value = match find(&content, path) {
        _ if key == SECRET_KEY => "(hidden)".into(),
        Some(value @ (Value::Array(_) | Value::Object(_))) => placeholder(value).into(),
        Some(value) => value.to_string().chars().take(SHOWN_MAX_LEN).collect(),
        None => "(absent)".into(),
    };
    SettingError {
        key,
        value,
        remedy: error.to_string(),
    }
}

const fn placeholder(value: &Value) -> &'static str {
    match value {
        Value::Array(_) => "[...]",
        _ => "{...}",
    }
}

fn find<'a>(content: &'a Value, path: &KeyPath) -> Option<&'a Value> {
    path.iter()
        .try_fold(content, |value, segment| match segment {
            Segment::Map { key } => value.get(key),
            Segment::Seq { index } => value.get(index),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
}
