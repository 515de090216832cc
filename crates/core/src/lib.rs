//! Every decision of persimmonfront: admission, queueing, routing, limits, retries, membership,
//! ownership, configuration and placement.
//!
//! The crate has no sockets, files, threads or clocks. An [`Event`] goes in with the time, and
//! [`Action`]s come out.

mod action;
mod context;
mod directory;
mod event;

pub mod catalog;
pub mod claim;
pub mod config;
pub mod daemon;
pub mod decision;
pub mod dispatch;
pub mod engine;
pub mod entry;
pub mod fleet;
pub mod grant;
pub mod ids;
pub mod membership;
pub mod message;
pub mod operator;
pub mod ownership;
pub mod placement;
pub mod plan;
pub mod platform;
pub mod request;
pub mod routing;
pub mod stream;
pub mod units;
pub mod upstream;
pub mod watch;

pub use action::Action;
pub use context::{Context, View};
pub use directory::Directory;
pub use event::Event;
