//! What callers, upstreams and operators saw, in the order of time.

mod book;
mod log;
mod observation;

pub use book::{Asked, Book, Ran};
pub use log::{Clock, History};
pub use observation::{Content, DaemonIndex, Observation, Part};
