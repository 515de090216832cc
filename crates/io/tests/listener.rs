//! The timeouts of the HTTP listener.

use persimmon_io::listener::HttpListener;
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

#[test]
fn silent_connection_is_closed() {
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = HttpListener::start(address, Duration::from_millis(300), drop).unwrap();
    let mut stream = TcpStream::connect(listener.address()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\nX-Wor")
        .unwrap();
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .expect("the listener keeps the connection open");
}
