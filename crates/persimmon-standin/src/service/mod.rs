//! A plain service that counts its executions.

mod executions;
mod service_handle;
mod settings;

pub use executions::ServiceCounters;
pub use service_handle::{Service, ServiceHandle};
pub use settings::{ServiceFields, ServiceSettings};
