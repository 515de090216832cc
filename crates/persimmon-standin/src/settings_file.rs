//! Settings files in JSON.

use crate::StandinError;
use serde::de::DeserializeOwned;
use std::{fs, path::Path};

/// Reads a settings file and checks it.
///
/// # Errors
///
/// The file can't be read, is no such settings, or has a value out of range.
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
