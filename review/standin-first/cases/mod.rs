//! The cases.

pub mod crashing_part;
pub mod restored_key;
pub mod slow_reader;

use std::path::PathBuf;

/// What a case is run with.
pub struct Setup {
    pub folder: PathBuf,
    pub gateway: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// A number in the environment, for trials with other figures.
pub fn figure(name: &str, usual: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(usual)
}
