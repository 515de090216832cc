//! Clients of the platform's services: tables, objects and the list of VMs.

mod client;
mod http_client;

pub use client::PlatformClient;
pub use http_client::HttpPlatform;
