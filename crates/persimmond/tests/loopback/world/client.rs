//! A bare HTTP client.

use super::PATIENCE;
use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
};

/// A streamed completion of ten tokens.
pub(crate) const STREAM: &str = r#"{"model":"m","prompt":"a b","max_tokens":10,"stream":true}"#;

/// The head and body of a POST for a workspace.
pub(crate) fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Workspace: team-1\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Opens a connection and sends `text` as it stands.
pub(crate) fn send(address: SocketAddr, text: &str) -> BufReader<TcpStream> {
    try_send(address, text).unwrap()
}

/// As `send`, where nobody may listen.
pub(crate) fn try_send(address: SocketAddr, text: &str) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(text.as_bytes())?;
    Ok(BufReader::new(stream))
}

/// Reads lines up to one that contains `wanted`.
pub(crate) fn read_until(reader: &mut BufReader<TcpStream>, wanted: &str) {
    let mut line = String::new();
    while !line.contains(wanted) {
        line.clear();
        let length = reader.read_line(&mut line).unwrap();
        assert!(length > 0, "the answer ended before {wanted:?}");
    }
}

/// Reads to the end. What came before a cut counts.
pub(crate) fn rest(mut reader: BufReader<TcpStream>) -> String {
    let mut bytes = Vec::new();
    let _ = reader.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).replace('\r', "")
}

/// Status and body of an answer.
pub(crate) fn call(address: SocketAddr, text: &str) -> String {
    let answer = rest(send(address, text));
    let (head, body) = answer.split_once("\n\n").unwrap_or((&answer, ""));
    let status = head.lines().next().unwrap_or("(closed)");
    format!(
        "{} {}",
        status.trim_start_matches("HTTP/1.1 "),
        body.trim_end()
    )
}

/// The page behind GET.
pub(crate) fn page(address: SocketAddr, path: &str) -> String {
    call(
        address,
        &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
    )
}

/// Tokens of a whole streamed answer; none where it is not whole.
pub(crate) fn tokens(answer: &str) -> Option<Vec<String>> {
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
