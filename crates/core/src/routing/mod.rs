//! Routing policies: choose the owner that an entry daemon asks for a grant.

mod candidates;
mod cost;
mod least_outstanding;
mod round_robin;
mod router;
mod settings;
mod unreported_work;

pub use router::{Route, RouteQuery, Router};
pub use settings::{RawRoutingSettings, RoutingPolicy, RoutingSettings};

/// Creates the router for the policy in `settings`.
pub fn router(settings: &RoutingSettings) -> Box<dyn Router> {
    match settings.policy {
        RoutingPolicy::Cost => Box::new(cost::LeastCost::new(settings.clone())),
        RoutingPolicy::LeastOutstanding => {
            Box::new(least_outstanding::LeastOutstanding::new(settings.clone()))
        }
        RoutingPolicy::RoundRobin => Box::new(round_robin::RoundRobin::new(settings.clone())),
    }
}
