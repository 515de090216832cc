//! A daemon's settings: JSON in, checked types out.

mod checked;
mod errors;
mod limits;
mod load;
mod object;
mod parts;
mod raw;

pub use checked::{Listen, LogFormat, LogSettings, OperatorToken, Settings, TlsFiles};
pub use errors::{SettingError, SettingsError};
pub use load::{load, parse};
pub use raw::RawSettings;
