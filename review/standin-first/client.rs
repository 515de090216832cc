//! A caller: one request on a new connection.

use crate::http::{self, Message};
use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// What a caller sees of its request.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if no answer came.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub complete: bool,
}

impl Answer {
    pub fn summary(&self) -> String {
        if self.status == 0 {
            return "no answer".to_owned();
        }
        format!(
            "{} id={} stamp={} {} bytes{}",
            self.status,
            self.head.header("attempt-id").unwrap_or("-"),
            self.head.header("response-stamp").unwrap_or("-"),
            self.body.len(),
            if self.complete { "" } else { ", broken off" }
        )
    }
}

/// Sends a request and reads its answer.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let _ = exchange(address, first, headers, body, limit, &mut answer);
    answer
}

fn exchange(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&http::encode(first, headers, body))?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else {
        return Ok(());
    };
    answer.status = head.status();
    answer.head = head;
    if http::is_chunked(&answer.head) {
        while let Some(chunk) = http::read_chunk(&mut reader)? {
            answer.body.extend_from_slice(&chunk);
        }
    } else if let Some(len) = answer.head.header("content-length") {
        let mut body = vec![0; len.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        answer.body = body;
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.complete = true;
    Ok(())
}
