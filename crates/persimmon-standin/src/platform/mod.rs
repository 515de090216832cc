//! The platform's services: table service, object store, list of VMs and weight store.

mod bucket;
mod platform_handle;
mod serve;
mod settings;
mod store;

pub use platform_handle::{Platform, PlatformHandle};
pub use settings::{PlatformFields, PlatformSettings};
pub use store::PlatformCounters;
