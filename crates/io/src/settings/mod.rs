//! Reads daemons' settings from JSON files and validates them.

mod checked;
mod components;
mod errors;
mod gateway;
mod limits;
mod load;
mod object;
mod raw;

pub use checked::{ListenAddresses, LogFormat, LogSettings, OperatorToken, Settings, TlsFiles};
pub use errors::{SettingError, SettingsError};
pub use gateway::{GatewayListenAddresses, GatewaySettings, RawGatewaySettings};
pub use load::{load, load_gateway, parse};
pub use raw::RawSettings;
