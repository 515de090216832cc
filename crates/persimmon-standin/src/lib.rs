//! Stand-ins for model engines, plain services and the platform, with fault injection.

pub mod demo;
pub mod engine;
pub mod faults;
pub mod http;
pub mod platform;
pub mod service;

mod errors;
mod host;
mod lagged;
mod settings_file;

pub use engine::{Engine, EngineHandle, EngineSettings};
pub use errors::StandinError;
pub use platform::{Platform, PlatformHandle, PlatformSettings};
pub use service::{Service, ServiceHandle, ServiceSettings};
pub use settings_file::read_settings;
