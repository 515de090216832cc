//! The platform's services: table service, object store, list of VMs and weight store.

mod platform_handle;
mod serve;
mod settings;
mod store;
mod token_bucket;

pub use platform_handle::{Platform, PlatformHandle};
pub use settings::{PlatformFields, PlatformSettings};
pub use store::PlatformCounters;
