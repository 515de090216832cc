//! Callers: they send requests through the balancer and check the answers.

mod balancer;
mod connection;
mod load;
mod response_spec;

pub(crate) use balancer::{is_ready, Balancer};
pub(crate) use connection::{Connection, RequestSpec};
pub(crate) use load::{LoadGenerator, LoadProfile};
pub(crate) use response_spec::ResponseSpec;
