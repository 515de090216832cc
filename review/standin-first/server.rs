//! Servers: they register themselves, answer requests as their case says, crash and start again.

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};
use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Silence after which the entry of a server is removed.
const LAPSE: Duration = Duration::from_millis(3_600);

/// How a server goes on after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    KeepOpen,
    Close,
    /// The process ends.
    Crash,
}

/// A connection to a server.
pub struct Connection {
    pub stream: TcpStream,
    /// A second copy of an answer, which is sent late: where the next answer is expected.
    pub late_copy: Option<Vec<u8>>,
}

/// What a server does with a request that it takes.
pub trait Behaviour: Send + Sync {
    fn serve(&self, server: &Incarnation, request: &Message, connection: &mut Connection) -> Next;
}

#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// Time from a crash to the next start.
    pub down: Duration,
}

/// One start of a server.
pub struct Incarnation {
    pub id: String,
    pub address: SocketAddr,
    spec: Spec,
    down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// Starts a server. After a crash it starts again at its address, under a new id.
pub fn start(
    spec: Spec,
    store: &Store,
    record: &Record,
    behaviour: Arc<dyn Behaviour>,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let (store, record) = (store.clone(), record.clone());
    thread::spawn(move || {
        let mut listener = Some(listener);
        let mut number = 1;
        loop {
            let bound = listener
                .take()
                .map_or_else(|| TcpListener::bind(address), Ok);
            let Ok(bound) = bound else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            let incarnation = Arc::new(Incarnation {
                id: format!("i-{}-{number}", spec.name),
                address,
                spec: spec.clone(),
                down: AtomicBool::new(false),
                open: Mutex::default(),
            });
            record.line(&format!("server {} starts", incarnation.id));
            incarnation.run(bound, &store, &behaviour);
            thread::sleep(spec.down);
            number += 1;
        }
    });
    Ok(address)
}

impl Incarnation {
    /// Serves until the process crashes.
    fn run(self: &Arc<Self>, listener: TcpListener, store: &Store, behaviour: &Arc<dyn Behaviour>) {
        self.register(store);
        let _ = listener.set_nonblocking(true);
        while !self.down.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(open) = stream.try_clone() {
                        self.open.lock().unwrap().push(open);
                    }
                    let (incarnation, behaviour) = (Arc::clone(self), Arc::clone(behaviour));
                    thread::spawn(move || incarnation.serve(stream, &*behaviour));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes the entry from time to time. It lapses after a crash.
    fn register(self: &Arc<Self>, store: &Store) {
        let (incarnation, store) = (Arc::clone(self), store.clone());
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |since| since.as_millis());
        thread::spawn(move || {
            let spec = &incarnation.spec;
            let mut sequence = 0;
            while !incarnation.down.load(Ordering::SeqCst) {
                sequence += 1;
                let entry = format!(
                    r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":{born}}}"#,
                    spec.service, incarnation.address, spec.zone, spec.slots
                );
                store.put("servers", &incarnation.id, &entry);
                thread::sleep(HEARTBEAT);
            }
            thread::sleep(LAPSE - HEARTBEAT);
            store.remove("servers", &incarnation.id);
        });
    }

    fn serve(&self, stream: TcpStream, behaviour: &dyn Behaviour) {
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut connection = Connection {
            stream: writer,
            late_copy: None,
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.down.load(Ordering::SeqCst) {
                break;
            }
            if let Some(copy) = connection.late_copy.take() {
                if connection.stream.write_all(&copy).is_err() {
                    break;
                }
            }
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("Instance-Id", self.id.as_str())];
                let answer = http::encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
                if connection.stream.write_all(&answer).is_err() {
                    break;
                }
                continue;
            }
            match behaviour.serve(self, &request, &mut connection) {
                Next::KeepOpen => {}
                Next::Close => break,
                Next::Crash => {
                    self.down.store(true, Ordering::SeqCst);
                    // The other threads of the process end with it.
                    thread::sleep(Duration::from_millis(5));
                    break;
                }
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }
}
