//! Which owner an entry daemon asks for a grant.

mod router;

pub use router::{Route, RouteQuery, Router};
