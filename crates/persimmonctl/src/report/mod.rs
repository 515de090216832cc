//! How replies are printed.

mod plan;
mod status;
mod text;

pub use text::{json, text};
