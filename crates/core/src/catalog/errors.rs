//! Errors of catalog validation.

use thiserror::Error;

/// Why a catalog is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// The prefix could match in the middle of a path segment.
    #[error("route {route}: prefix {prefix:?} must begin and end with a slash")]
    Prefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// No target of the route has a weight above 0.
    #[error("route {route} names no service with a weight above 0: add one")]
    NoTarget {
        /// The route.
        route: String,
    },
    /// A target of the route is a service that the catalog does not define.
    #[error("route {route} goes to service {service}, which the catalog lacks: add the service")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
}
