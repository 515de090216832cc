//! Stand-ins for upstreams: engines that stream, and plain servers.

mod answer;
mod grey;
mod incarnation;
mod memory;
mod place;
mod stream;
mod work;

pub(crate) use grey::Grey;
pub(crate) use place::Upstream;
