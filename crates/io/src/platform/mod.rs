//! Calls to the platform's services.

mod client;
mod http_client;

pub use client::PlatformClient;
pub use http_client::HttpPlatform;
