//! Which of a listener's connections is closed when there is no room for another one.
//!
//! A crowd of clients that bring no requests, stop midway or never read would otherwise hold all places until their
//! time limits, and ordinary clients would find none.

mod table;

pub use table::{ConnectionStage, ConnectionTable};
