//! A plain service that counts its runs.

mod executions;
mod service_handle;
mod settings;

pub use executions::ServiceCounters;
pub use service_handle::{Service, ServiceHandle};
pub use settings::{ServiceFields, ServiceSettings};
