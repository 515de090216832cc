//! Reads the head of a request within the configured limits.

use super::{HttpLimits, RawCall, RequestError};
use bytes::Bytes;
use http::request::Parts;

/// Method, target and headers of a request, with an empty body.
///
/// # Errors
///
/// `HeadTooLarge` where target and headers together exceed `head_max_bytes`.
pub(super) fn read_head(head: &Parts, limits: &HttpLimits) -> Result<RawCall, RequestError> {
    let target = head.uri.path_and_query();
    let target = target.map_or_else(String::new, ToString::to_string);
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), text(value.as_bytes())));
    let headers: Vec<_> = headers.collect();
    let size = |(name, value): &(String, String)| name.len() + value.len();
    let total = target.len() + headers.iter().map(size).sum::<usize>();
    if total > limits.head_max_bytes {
        let max_bytes = limits.head_max_bytes;
        return Err(RequestError::HeadTooLarge { max_bytes });
    }
    Ok(RawCall {
        method: head.method.to_string(),
        target,
        headers,
        body: Bytes::new(),
    })
}
