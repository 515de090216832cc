//! Why a catalog is not taken over.

use thiserror::Error;

/// Why a catalog is not taken over.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// A prefix that can match in the middle of a path segment.
    #[error("route {route}: prefix {prefix:?} must begin and end with a slash")]
    Prefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// A route without a service to go to.
    #[error("route {route} names no service with a weight above 0: add one")]
    NoTarget {
        /// The route.
        route: String,
    },
    /// A route to a service that is not in the same catalog.
    #[error("route {route} goes to service {service}, which the catalog lacks: add the service")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
}
