//! A plain server: answers each request after a short time. A path that has `poison` in it ends the process as soon as
//! it begins to run such a request.

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

pub fn run(id: &str, address: &str, _mode: &str) -> i32 {
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(&id, Connection::new(stream)));
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
