//! HTTP/1.1 over blocking sockets: heads, bodies and a client.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, len: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

fn set_option(stream: &TcpStream, name: i32, value: &[u8]) {
    use std::os::fd::AsRawFd;
    let len = value.len() as u32;
    // The options are valid, so that the call can't fail on an open socket.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, name, value.as_ptr(), len) };
}

/// Closing the socket resets the connection.
pub fn reset_on_close(stream: &TcpStream) {
    let mut linger = 1i32.to_ne_bytes().to_vec();
    linger.extend(0i32.to_ne_bytes());
    set_option(stream, SO_LINGER, &linger);
}

/// Bounds the receive buffer.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    set_option(stream, SO_RCVBUF, &bytes.to_ne_bytes());
}

/// A head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let text = self.first.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or_default()
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    /// Reads more bytes. An end of the stream is an error.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16384];
        let len = self.stream.read(&mut buffer)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buffer[..len]);
        Ok(len)
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(at) = find(&self.ahead, b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Ok(Head {
            first,
            fields: fields.collect(),
        })
    }

    pub fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < len {
            self.fill()?;
        }
        Ok(self.ahead.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.ahead, b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..at]).into_owned();
                self.ahead.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads one chunk of a chunked body; the last one is empty.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let digits = line.split(';').next().unwrap_or_default().trim().to_owned();
        let len = usize::from_str_radix(&digits, 16);
        let len = len.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.exact(len)?;
        self.line()?;
        Ok(chunk)
    }

    /// Reads a body by the framing that the head states.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let encoding = head.get("transfer-encoding").unwrap_or_default();
        if encoding.eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let len = head.get("content-length").and_then(|len| len.parse().ok());
        self.exact(len.unwrap_or(0))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// An answer that a client has got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends a request on a connection and reads the answer within the limit.
pub fn exchange(
    connection: &mut Connection,
    request: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let until = Instant::now() + limit;
    connection.stream.set_read_timeout(Some(limit))?;
    connection.write(request)?;
    let head = connection.head()?;
    let left = until.saturating_duration_since(Instant::now());
    connection
        .stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let body = connection.body(&head)?;
    Ok(Answer { head, body })
}

/// The bytes of a request.
pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The bytes of a response with a length.
pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
