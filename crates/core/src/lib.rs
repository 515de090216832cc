//! The decision logic of persimmonfront: admission, queueing, routing, limits, retries, membership,
//! ownership, configuration and placement.
//!
//! The crate is free of I/O: it uses no sockets, files, threads or clocks. Its input is an
//! [`Event`] with the current time, and its output is a list of [`Action`]s.

mod action;
mod context;
mod directory;
mod event;

pub mod catalog;
pub mod claim;
pub mod config;
pub mod connections;
pub mod daemon;
pub mod decision;
pub mod dispatch;
pub mod engine;
pub mod entry;
pub mod fleet;
pub mod grant;
pub mod ids;
pub mod membership;
pub mod memory_budget;
pub mod message;
pub mod operator;
pub mod ownership;
pub mod path;
pub mod placement;
pub mod plan;
pub mod platform;
pub mod prefix;
pub mod request;
pub mod returns;
pub mod routing;
pub mod sharing;
pub mod speed;
pub mod stream;
pub mod units;
pub mod upstream;
pub mod watch;

pub use action::Action;
pub use context::{Context, View};
pub use directory::Directory;
pub use event::Event;
