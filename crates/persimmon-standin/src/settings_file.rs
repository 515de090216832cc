//! Settings files in JSON.

use crate::StandinError;
use serde::de::DeserializeOwned;
use std::{fs, path::Path};

/// Reads and validates a settings file.
///
/// # Errors
///
/// The file can't be read, does not match the settings' format, or has a value out of range.
pub fn read_settings<F, S>(file: &Path) -> Result<S, StandinError>
where
    F: DeserializeOwned,
    S: TryFrom<F, Error = StandinError>,
{
    let failed = |reason: String| StandinError::File {
        file: file.display().to_string(),
        reason,
    };
    let text = fs::read(file).map_err(|error| failed(error.to_string()))?;
    let fields: F = serde_json::from_slice(&text).map_err(|error| failed(error.to_string()))?;
    S::try_from(fields).map_err(|error| failed(error.to_string()))
}
