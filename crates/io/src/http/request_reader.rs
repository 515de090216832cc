//! Reads the head and body of a request within the configured limits.

use super::{HttpLimits, RawCall, RequestError};
use bytes::Bytes;
use std::{io::ErrorKind, time::Instant};
use tiny_http::Request;

/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Method, target and headers of a request, with an empty body.
///
/// # Errors
///
/// `HeadTooLarge` where target and headers together exceed `head_max_bytes`.
pub(super) fn read_head(request: &Request, limits: &HttpLimits) -> Result<RawCall, RequestError> {
    let pair = |h: &tiny_http::Header| (h.field.to_string(), h.value.to_string());
    let headers: Vec<_> = request.headers().iter().map(pair).collect();
    let size = |(field, value): &(String, String)| field.len() + value.len();
    let total = request.url().len() + headers.iter().map(size).sum::<usize>();
    if total > limits.head_max_bytes {
        let max_bytes = limits.head_max_bytes;
        return Err(RequestError::HeadTooLarge { max_bytes });
    }
    Ok(RawCall {
        method: request.method().to_string(),
        target: request.url().to_owned(),
        headers,
        body: Bytes::new(),
    })
}

/// Reads the body of a request.
///
/// # Errors
///
/// The body exceeds `body_max_bytes`, takes longer than `body_time_ms`, or differs in length from
/// `Content-Length`.
pub(super) fn read_body(request: &mut Request, limits: &HttpLimits) -> Result<Bytes, RequestError> {
    let max_bytes = limits.body_max_bytes;
    let content_length = request.body_length();
    if content_length.is_some_and(|length| length > max_bytes) {
        return Err(RequestError::BodyTooLarge { max_bytes });
    }
    let within = limits.body_time_ms;
    let deadline = Instant::now() + within.duration();
    let mut body = Vec::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = match request.as_reader().read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) if is_timeout(error.kind()) => {
                return Err(RequestError::BodyTimeout { within })
            }
            Err(_) => return Err(RequestError::BodyTruncated),
        };
        body.extend_from_slice(&buffer[..length]);
        if body.len() > max_bytes {
            return Err(RequestError::BodyTooLarge { max_bytes });
        }
        if Instant::now() > deadline {
            return Err(RequestError::BodyTimeout { within });
        }
    }
    match content_length {
        Some(length) if length != body.len() => Err(RequestError::BodyTruncated),
        _ => Ok(body.into()),
    }
}

const fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
