//! Clients of a daemon's operator interface.

mod http_client;
mod operator_client;

pub use http_client::HttpClient;
pub use operator_client::OperatorClient;
