//! Sizes, rates and times as newtypes with `Display` and `FromStr`.

mod errors;
mod range;
mod rates;
mod sizes;
mod time;

pub use errors::UnitError;
pub use range::{RangeCheck, RangeError};
pub use rates::{BytesPerSecond, RequestsPerSecond, TokensPerSecond};
pub use sizes::{ByteCount, KvBytes, Tokens};
pub use time::{Millis, Time};
