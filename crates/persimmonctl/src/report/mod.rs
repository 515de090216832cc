//! Formats replies for printing.

mod plan;
mod status;
mod text;

pub use text::{json, text};
