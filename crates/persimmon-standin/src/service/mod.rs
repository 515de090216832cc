//! A plain service that counts its runs.

mod runs;
mod service_handle;
mod settings;

pub use runs::ServiceCounters;
pub use service_handle::{Service, ServiceHandle};
pub use settings::{ServiceFields, ServiceSettings};
