//! Whose answer a response is, and what it proves.

mod origin;

pub use origin::{AnswerOrigin, ConnectionUse, StatedRequest};
