//! Starts the process's logger.

use super::QueueAppend;
use crate::settings::{LogFormat, LogSettings};
use jiff::tz::TimeZone;
use log::LevelFilter as LogFilter;
use logforth::{
    append::Stderr,
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
    starter_log, Append, Layout,
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
    install(
        settings,
        Stderr::default().with_layout(layout(settings.format)),
    )
}

/// Starts the process's logger: lines go to standard output, and a slow reader costs lines rather
/// than time.
///
/// # Errors
///
/// The process has a logger already, or no thread can be started.
pub fn start_on_stdout(settings: &LogSettings) -> Result<(), LogError> {
    let append = QueueAppend::start(layout(settings.format), std::io::stdout());
    let append = append.map_err(|error| LogError {
        reason: error.to_string(),
    })?;
    install(settings, append)
}

fn install(settings: &LogSettings, append: impl Append) -> Result<(), LogError> {
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
