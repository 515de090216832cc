//! Platform-specific implementations used by the gateway.

use persimmon_io::transport::{Dialect, MetadataStore, Pool};
use std::{net::SocketAddr, rc::Rc};

/// Constructors of the platform-specific implementations. Both are called on the traffic thread.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Creates the header conventions of callers and upstreams.
    pub dialect: fn() -> Rc<dyn Dialect>,
    /// Creates a client of the store at an address.
    pub store: fn(Rc<Pool>, SocketAddr) -> Rc<dyn MetadataStore>,
}
