//! Which owner an entry daemon asks for a grant.

mod candidates;
mod cost;
mod least_outstanding;
mod round_robin;
mod router;
mod sent;
mod settings;

pub use router::{Route, RouteQuery, Router};
pub use settings::{RawRoutingSettings, RoutingPolicy, RoutingSettings};

/// The router of the policy that the settings name.
pub fn router(settings: &RoutingSettings) -> Box<dyn Router> {
    match settings.policy {
        RoutingPolicy::Cost => Box::new(cost::Cost::new(settings.clone())),
        RoutingPolicy::LeastOutstanding => {
            Box::new(least_outstanding::LeastOutstanding::new(settings.clone()))
        }
        RoutingPolicy::RoundRobin => Box::new(round_robin::RoundRobin::new(settings.clone())),
    }
}
