//! Reads requests and writes complete answers.

use serde::Serialize;
use serde_json::json;
use tiny_http::{Header, Request, Response};

/// Returns the value of a header, matched without regard to case.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str())
}

/// Returns the value of a query parameter.
pub fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, parameters) = url.split_once('?')?;
    parameters
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Reads the body. Returns an empty body if the connection breaks.
pub fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    match request.as_reader().read_to_end(&mut body) {
        Ok(_) => body,
        Err(_) => Vec::new(),
    }
}

/// Answers with a status and a JSON body.
pub fn respond_status(request: Request, status: u16, body: &impl Serialize) {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::from_data(text).with_status_code(status);
    if let Ok(kind) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(kind);
    }
    // A write error means that the caller disconnected.
    let _ = request.respond(response);
}

/// Answers 200 with a JSON body.
pub fn respond_json(request: Request, body: &impl Serialize) {
    respond_status(request, 200, body);
}

/// Answers with an error body that carries a reason and an outcome.
pub fn respond_error(request: Request, status: u16, reason: &str, outcome: &str) {
    let body = json!({"error": {"reason": reason, "outcome": outcome}});
    respond_status(request, status, &body);
}
