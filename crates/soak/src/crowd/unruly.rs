//! A crowd of clients that all do the same.

use super::Script;
use crate::SoakError;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    runtime::Builder,
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Pause of a client whose connection was closed, before it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A crowd of clients, on a thread of their own, that goes on until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    stop: watch::Sender<bool>,
    opened: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `clients_len` clients that follow `script` at `address`.
    ///
    /// # Errors
    ///
    /// No event loop can be started.
    pub fn start(
        address: SocketAddr,
        clients_len: usize,
        script: &Script,
    ) -> Result<Self, SoakError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = watch::channel(false);
        let opened = Arc::new(AtomicUsize::new(0));
        let (script, counted) = (script.clone(), Arc::clone(&opened));
        let thread = thread::spawn(move || {
            runtime.block_on(async move {
                let mut clients = JoinSet::new();
                for _ in 0..clients_len {
                    let (script, opened) = (script.clone(), Arc::clone(&counted));
                    let mut stopped = stopped.clone();
                    clients.spawn(async move {
                        tokio::select! {
                            () = client(address, &script, &opened) => {}
                            // An error means that the crowd is gone.
                            _ = stopped.wait_for(|stopped| *stopped) => {}
                        }
                    });
                }
                while clients.join_next().await.is_some() {}
            });
        });
        Ok(Self {
            stop,
            opened,
            thread: Some(thread),
        })
    }

    /// Number of connections that have been opened and have got the opening of the script, as far as the other
    /// side took it.
    pub fn opened_len(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            // A client that panicked has shown what it had to show.
            let _ = thread.join();
        }
    }
}

async fn client(address: SocketAddr, script: &Script, opened: &AtomicUsize) {
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            opened.fetch_add(1, Ordering::Relaxed);
            follow(stream, script).await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Follows the script until the connection ends.
async fn follow(mut stream: TcpStream, script: &Script) {
    if stream.write_all(&script.opening).await.is_err() {
        return;
    }
    if script.repeated.is_empty() {
        // The other side closes the connection, or answers, which the client does not read.
        closed(&stream).await;
        return;
    }
    while stream.write_all(&script.repeated).await.is_ok() {}
}

/// Waits until the other side has reset the connection, or closed it after all that it wrote.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    // Peeking returns nothing at the end of the other side's bytes, and an error after a reset.
    while stream.peek(&mut byte).await.is_ok_and(|len| len > 0) {
        sleep(RECONNECT_DELAY).await;
    }
}
