//! The borders of persimmonfront: sockets, files, settings, logs and metrics round the core.

pub mod link;
pub mod peer;
