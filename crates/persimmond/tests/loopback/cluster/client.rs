//! A minimal HTTP client.

use super::TEST_TIMEOUT;
use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
};

/// A streamed completion of ten tokens.
pub(crate) const STREAM: &str = r#"{"model":"m","prompt":"a b","max_tokens":10,"stream":true}"#;

/// Head and body of a POST request with a workspace.
pub(crate) fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Workspace: team-1\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Opens a connection and sends `text` unchanged.
pub(crate) fn send_request(address: SocketAddr, text: &str) -> BufReader<TcpStream> {
    try_send_request(address, text).unwrap()
}

/// Like `send_request`, but returns an error if the connection fails.
pub(crate) fn try_send_request(
    address: SocketAddr,
    text: &str,
) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.write_all(text.as_bytes())?;
    Ok(BufReader::new(stream))
}

/// Reads lines up to the first one that contains `wanted`.
pub(crate) fn read_until(reader: &mut BufReader<TcpStream>, wanted: &str) {
    let mut line = String::new();
    while !line.contains(wanted) {
        line.clear();
        let length = reader.read_line(&mut line).unwrap();
        assert!(length > 0, "the response ended before {wanted:?}");
    }
}

/// Reads the response to its end. If the connection breaks, returns the part read so far.
pub(crate) fn read_response(mut reader: BufReader<TcpStream>) -> String {
    let mut bytes = Vec::new();
    let _ = reader.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).replace('\r', "")
}

/// Sends a request and returns status and body of the response.
pub(crate) fn call(address: SocketAddr, text: &str) -> String {
    let answer = read_response(send_request(address, text));
    let (head, body) = answer.split_once("\n\n").unwrap_or((&answer, ""));
    let status = head.lines().next().unwrap_or("(closed)");
    format!(
        "{} {}",
        status.trim_start_matches("HTTP/1.1 "),
        body.trim_end()
    )
}

/// Sends a GET request and returns status and body of the response.
pub(crate) fn page(address: SocketAddr, path: &str) -> String {
    call(
        address,
        &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
    )
}

/// Tokens of a complete streamed answer; none if it is truncated or malformed.
pub(crate) fn complete_tokens(answer: &str) -> Option<Vec<String>> {
    let data = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let mut tokens = Vec::new();
    for data in data {
        if data == "[DONE]" {
            return Some(tokens);
        }
        let chunk: serde_json::Value = serde_json::from_str(data).ok()?;
        let text = chunk["choices"][0]["text"].as_str()?.trim().to_owned();
        if !text.is_empty() {
            tokens.push(text);
        }
    }
    None
}
