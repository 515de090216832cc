//! Starts the process's logger.

use crate::settings::{LogFormat, LogSettings};
use jiff::tz::TimeZone;
use log::LevelFilter as LogFilter;
use logforth::{
    append::Stderr,
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
    starter_log, Layout,
};
use thiserror::Error;

/// Why logging can't start.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("logging can't start ({reason}): start one daemon's logger in a process")]
pub struct LogError {
    /// What the library says.
    pub reason: String,
}

/// Starts the process's logger: lines go to standard error.
///
/// # Errors
///
/// The process has a logger already.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let append = Stderr::default().with_layout(layout(settings.format));
    let filter = filter(settings.level);
    let builder = starter_log::builder().dispatch(|d| d.filter(filter).append(append));
    builder.try_apply().map_err(|error| LogError {
        reason: error.to_string(),
    })?;
    log::set_max_level(settings.level);
    Ok(())
}

/// How lines of a format look. Times are in UTC.
pub fn layout(format: LogFormat) -> Box<dyn Layout> {
    match format {
        LogFormat::Json => Box::new(JsonLayout::default().timezone(TimeZone::UTC)),
        LogFormat::Text => Box::new(TextLayout::default().no_color().timezone(TimeZone::UTC)),
    }
}

const fn filter(level: LogFilter) -> LevelFilter {
    match level {
        LogFilter::Off => LevelFilter::Off,
        LogFilter::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogFilter::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogFilter::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogFilter::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        LogFilter::Trace => LevelFilter::MoreSevereEqual(Level::Trace),
    }
}
