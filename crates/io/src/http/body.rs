//! Reads a request within its limits.

use super::{HttpLimits, RawCall, RequestError};
use bytes::Bytes;
use std::{io::ErrorKind, time::Instant};
use tiny_http::Request;

/// Bytes read at a time.
const STEP_BYTES: usize = 64 * 1024;

/// Takes method, target and headers of a request.
pub(super) fn head(request: &Request, limits: &HttpLimits) -> Result<RawCall, RequestError> {
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
pub(super) fn body(request: &mut Request, limits: &HttpLimits) -> Result<Bytes, RequestError> {
    let max_bytes = limits.body_max_bytes;
    let stated = request.body_length();
    if stated.is_some_and(|length| length > max_bytes) {
        return Err(RequestError::BodyTooLarge { max_bytes });
    }
    let within = limits.body_time_ms;
    let deadline = Instant::now() + within.duration();
    let mut body = Vec::new();
    let mut step = vec![0; STEP_BYTES];
    loop {
        let length = match request.as_reader().read(&mut step) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) if is_slow(error.kind()) => {
                return Err(RequestError::BodyTimeout { within })
            }
            Err(_) => return Err(RequestError::BodyTruncated),
        };
        body.extend_from_slice(&step[..length]);
        if body.len() > max_bytes {
            return Err(RequestError::BodyTooLarge { max_bytes });
        }
        if Instant::now() > deadline {
            return Err(RequestError::BodyTimeout { within });
        }
    }
    match stated {
        Some(length) if length != body.len() => Err(RequestError::BodyTruncated),
        _ => Ok(body.into()),
    }
}

const fn is_slow(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
