//! A client's request on a connection of its own.

use crate::{http, record::Record};
use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

pub struct Request<'a> {
    pub attempt: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub body_len: usize,
}

impl Request<'_> {
    pub fn head(&self) -> String {
        let Self {
            attempt,
            method,
            path,
            key,
            deadline_ms,
            body_len,
        } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: {deadline_ms}\r\nKey: {key}\r\nContent-Length: {body_len}\r\n\r\n"
        )
    }
}

/// Sends a request and returns the status of its answer; 0 if the connection ends or hangs without one.
pub fn send(address: SocketAddr, request: &Request<'_>, record: &Record) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 500)))?;
        let mut bytes = request.head().into_bytes();
        bytes.extend(vec![b'b'; request.body_len]);
        stream.write_all(&bytes)?;
        let answer = http::read(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    record.line(&format!(
        "client sends {} ({} {}) with key {}",
        request.attempt, request.method, request.path, request.key
    ));
    match exchange() {
        Ok(status) => {
            record.line(&format!("client gets {status} for {}", request.attempt));
            status
        }
        Err(error) => {
            record.line(&format!(
                "client gets no answer for {}: {error}",
                request.attempt
            ));
            0
        }
    }
}

/// How a request ended whose body was sent slowly.
pub struct UploadEnd {
    /// 0 without an answer.
    pub status: u16,
    pub sent_all: bool,
    /// From the last byte of the request to the end.
    pub waited_ms: u128,
}

/// A connection that is kept after its first request.
pub struct KeptConnection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl KeptConnection {
    pub fn open(address: SocketAddr, request: &Request<'_>, record: &Record) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(9_000)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        record.line(&format!("client sends {}", request.attempt));
        let mut bytes = request.head().into_bytes();
        bytes.extend(vec![b'b'; request.body_len]);
        stream.write_all(&bytes)?;
        let answer = http::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        record.line(&format!(
            "client gets {} for {}, and keeps the connection",
            answer.status(),
            request.attempt
        ));
        Ok(Self { stream, reader })
    }

    /// Sends a request whose body takes `span_ms`.
    pub fn upload(mut self, request: &Request<'_>, span_ms: u64, record: &Record) -> UploadEnd {
        let mut end = UploadEnd {
            status: 0,
            sent_all: false,
            waited_ms: 0,
        };
        let mut sent_at = Instant::now();
        let mut exchange = || -> io::Result<u16> {
            record.line(&format!(
                "client begins to send {} over {span_ms} ms",
                request.attempt
            ));
            self.stream.write_all(request.head().as_bytes())?;
            const PARTS: usize = 10;
            for _ in 0..PARTS {
                thread::sleep(Duration::from_millis(span_ms / PARTS as u64));
                self.stream
                    .write_all(&vec![b'b'; request.body_len / PARTS])?;
            }
            record.line(&format!("client has sent all of {}", request.attempt));
            end.sent_all = true;
            sent_at = Instant::now();
            let answer = http::read(&mut self.reader)?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        match exchange() {
            Ok(status) => end.status = status,
            Err(error) => record.line(&format!("{}: {error}", request.attempt)),
        }
        end.waited_ms = sent_at.elapsed().as_millis();
        record.line(&format!(
            "{} ends with status {} (0: no answer), {} ms after its last byte",
            request.attempt, end.status, end.waited_ms
        ));
        end
    }
}

/// Starts a client that takes its answer slowly: 4 KB each 200 ms.
pub fn read_slowly(address: SocketAddr, request: &Request<'_>, record: &Record) {
    let mut stream = TcpStream::connect(address).expect("the gateway listens");
    stream
        .write_all(request.head().as_bytes())
        .expect("the gateway reads");
    record.line(&format!(
        "a client sends {} and takes 4 KB of its answer each 200 ms",
        request.attempt
    ));
    thread::spawn(move || {
        let mut part = vec![0; 4 << 10];
        while stream.read(&mut part).is_ok_and(|len| len > 0) {
            thread::sleep(Duration::from_millis(200));
        }
    });
}
