//! Callers: what they ask, and whether the answer is the one to what they asked.

mod balancer;
mod exchange;
mod load;
mod script;

pub(crate) use balancer::{is_ready, Balancer};
pub(crate) use exchange::{Connection, Question};
pub(crate) use load::{Load, Pace};
pub(crate) use script::Script;
