//! What operators configured: routes, services, API keys and limits of callers.

mod api_key;
mod engine_profile;
mod errors;
mod in_force;
mod limits;
mod route;
mod service;

pub use api_key::{ApiKey, KeyHolder};
pub use engine_profile::EngineProfile;
pub use errors::CatalogError;
pub use in_force::{Catalog, RawCatalog};
pub use limits::CallerLimits;
pub use route::{CallKind, Route, Target};
pub use service::Service;
