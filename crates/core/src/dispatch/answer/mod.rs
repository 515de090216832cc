//! Whose answer a response is, whether it proves that its request has not run, and whether its body is whole.

mod body_end;
mod origin;
mod verdict;

pub use body_end::{BodyContent, BodyEnd, BodyFraming, BrokenOff, EndVerdict};
pub use origin::{AnswerOrigin, ConnectionUse, StatedRequest};
pub use verdict::{promises_not_run, AnswerVerdict, Doubt, ResponseClaims};
