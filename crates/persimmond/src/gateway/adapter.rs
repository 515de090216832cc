//! What the platform's side brings in.

use persimmon_io::transport::{Dialect, MetadataStore, Pool};
use std::{net::SocketAddr, rc::Rc};

/// What the platform's side brings in. Both are made on the traffic thread.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Makes the headers that callers and upstreams use.
    pub dialect: fn() -> Rc<dyn Dialect>,
    /// Makes the client of the store at an address.
    pub store: fn(Rc<Pool>, SocketAddr) -> Rc<dyn MetadataStore>,
}
