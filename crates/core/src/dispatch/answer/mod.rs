//! Whose answer a response is, and whether it proves that its request has not run.

mod origin;
mod verdict;

pub use origin::{AnswerOrigin, ConnectionUse, StatedRequest};
pub use verdict::{promises_not_run, AnswerVerdict, Doubt, ResponseClaims};
