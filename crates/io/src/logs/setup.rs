//! Installs the logger of the process.

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

/// The logger can't be installed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("can't install the logger ({reason}): only one daemon of a process may install it")]
pub struct LogError {
    /// Message of the logging library or the operating system.
    pub reason: String,
}

/// Installs the logger of the process, which writes to standard error.
///
/// # Errors
///
/// The process already has a logger.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    install(
        settings,
        Stderr::default().with_layout(layout(settings.format)),
    )
}

/// Installs the logger of the process, which writes to standard output. If the reader is slow, lines
/// are dropped rather than delaying the process.
///
/// # Errors
///
/// The process already has a logger, or the writer thread can't be started.
pub fn start_on_stdout(settings: &LogSettings) -> Result<(), LogError> {
    let append = QueueAppend::start(layout(settings.format), std::io::stdout());
    let append = append.map_err(|error| LogError {
        reason: error.to_string(),
    })?;
    install(settings, append)
}

fn install(settings: &LogSettings, append: impl Append) -> Result<(), LogError> {
    let filter = level_filter(settings.level);
    let builder = starter_log::builder().dispatch(|d| d.filter(filter).append(append));
    builder.try_apply().map_err(|error| LogError {
        reason: error.to_string(),
    })?;
    log::set_max_level(settings.level);
    Ok(())
}

/// The layout of log lines in `format`, with times in UTC.
pub fn layout(format: LogFormat) -> Box<dyn Layout> {
    match format {
        LogFormat::Json => Box::new(JsonLayout::default().timezone(TimeZone::UTC)),
        LogFormat::Text => Box::new(TextLayout::default().no_color().timezone(TimeZone::UTC)),
    }
}

const fn level_filter(level: LogFilter) -> LevelFilter {
    match level {
        LogFilter::Off => LevelFilter::Off,
        LogFilter::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogFilter::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogFilter::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogFilter::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        LogFilter::Trace => LevelFilter::MoreSevereEqual(Level::Trace),
    }
}
