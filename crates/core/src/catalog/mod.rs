//! The catalog that operators configure: routes, services, API keys and limits for callers.

mod api_key;
mod engine_profile;
mod errors;
mod limits;
mod route;
mod service;
mod stamp;
mod validated;

pub use api_key::{ApiKey, KeyHolder};
pub use engine_profile::EngineProfile;
pub use errors::CatalogError;
pub use limits::CallerLimits;
pub use route::{CallKind, Route, Target};
pub use service::Service;
pub use stamp::CatalogStamp;
pub use validated::{Catalog, RawCatalog};
