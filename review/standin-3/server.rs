//! Servers. A plain one answers each request after a short time; a path that has `poison` in it ends the process as soon
//! as it begins to run such a request. A streaming one answers with events, whose number the path ends with; the answer
//! has neither a length nor chunks and ends with its connection.

use crate::http::{response, Connection};
use std::{
    io::Write,
    net::TcpListener,
    process::abort,
    thread,
    time::Duration,
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);

/// Time from the head of a stream to its first event, and between two events.
const PREFILL: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(40);

pub fn run(id: &str, address: &str, mode: &str) -> i32 {
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    for stream in listener.incoming().flatten() {
        let (id, connection) = (id.to_owned(), Connection::new(stream));
        if mode == "stream" {
            thread::spawn(move || serve_stream(&id, connection));
        } else {
            thread::spawn(move || serve(&id, connection));
        }
    }
    0
}

fn tell(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(format!("{line}\n").as_bytes());
    let _ = out.flush();
}

fn serve(id: &str, mut connection: Connection) {
    while let Ok(head) = connection.head() {
        if connection.body(&head).is_err() {
            return;
        }
        let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
        let echoed = ("Attempt-Id", attempt.as_str());
        if head.get("expect-instance").is_some_and(|expected| expected != id) {
            let answer = response("421 Misdirected Request", &[echoed, ("Instance-Id", id)], b"");
            let _ = connection.write(&answer);
            continue;
        }
        tell(&format!("run {attempt} {}", head.target()));
        if head.target().contains("poison") {
            abort();
        }
        thread::sleep(WORK);
        let stamp = format!("stamp.{attempt}");
        let fields = [echoed, ("Response-Stamp", stamp.as_str())];
        if connection.write(&response("200 OK", &fields, b"ok")).is_err() {
            return;
        }
    }
}

fn serve_stream(id: &str, mut connection: Connection) -> Option<()> {
    let head = connection.head().ok()?;
    connection.body(&head).ok()?;
    let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
    if head.get("expect-instance").is_some_and(|expected| expected != id) {
        let fields = [("Attempt-Id", attempt.as_str()), ("Instance-Id", id)];
        connection.write(&response("421 Misdirected Request", &fields, b"")).ok()?;
        return None;
    }
    let last: u32 = head.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
    let count: u32 = head.target().rsplit('/').next().and_then(|count| count.parse().ok())?;
    let begin = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: stamp.{attempt}\r\nContent-Type: text/event-stream\r\n\r\n"
    );
    connection.write(begin.as_bytes()).ok()?;
    tell(&format!("begin {attempt} {last}"));
    thread::sleep(PREFILL);
    for event in last + 1..=count {
        connection.write(format!("id: {event}\n").as_bytes()).ok()?;
        tell(&format!("inside {attempt} {event}"));
        thread::sleep(STEP);
        connection.write(format!("data: piece {event}\n\n").as_bytes()).ok()?;
    }
    tell(&format!("end {attempt} {count}"));
    Some(())
}
