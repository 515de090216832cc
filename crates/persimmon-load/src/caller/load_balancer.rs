//! What the platform's balancer does: it sends callers to the daemons that say they are ready.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, PoisonError, RwLock,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Pause between two looks at the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a readiness response, in seconds.
const READINESS_TIMEOUT_SECS: u64 = 1;

/// Sends callers to the daemons that say they are ready, in turn.
#[derive(Debug)]
pub struct LoadBalancer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    daemons: RwLock<Vec<SocketAddr>>,
    ready: RwLock<Vec<SocketAddr>>,
    next_index: AtomicUsize,
    stopped: AtomicBool,
}

impl LoadBalancer {
    /// Starts with daemons that are ready.
    pub fn start(daemons: Vec<SocketAddr>) -> Self {
        let shared = Arc::new(Shared::default());
        shared.set_daemons(daemons);
        let polling = Arc::clone(&shared);
        let thread = thread::spawn(move || polling.poll_readiness());
        Self {
            shared,
            thread: Some(thread),
        }
    }

    /// Changes the list of daemons. Those that are new count as ready until they say otherwise.
    pub fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        self.shared.set_daemons(daemons);
    }

    /// The daemons to try for one call, in order.
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let mut ready = read(&self.shared.ready);
        if !ready.is_empty() {
            let turn = self.shared.next_index.fetch_add(1, Ordering::Relaxed);
            let offset = turn % ready.len();
            ready.rotate_left(offset);
        }
        ready
    }
}

impl Drop for LoadBalancer {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        write(&self.daemons, daemons.clone());
        write(&self.ready, daemons);
    }

    fn poll_readiness(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
            let daemons = read(&self.daemons);
            let ready = daemons.iter().copied().filter(|a| is_ready(*a)).collect();
            // The list may have changed meanwhile.
            if daemons == read(&self.daemons) {
                write(&self.ready, ready);
            }
        }
    }
}

fn is_ready(daemon: SocketAddr) -> bool {
    let response = minreq::get(format!("http://{daemon}/readyz"))
        .with_header("Connection", "close")
        .with_timeout(READINESS_TIMEOUT_SECS)
        .send();
    response.is_ok_and(|response| response.status_code == 200)
}

fn read(list: &RwLock<Vec<SocketAddr>>) -> Vec<SocketAddr> {
    list.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write(list: &RwLock<Vec<SocketAddr>>, daemons: Vec<SocketAddr>) {
    *list.write().unwrap_or_else(PoisonError::into_inner) = daemons;
}
