//! Stand-in for the platform's load balancer: directs callers to the daemons that report ready.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, PoisonError, RwLock,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Interval between two rounds of readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a readiness check, in seconds.
const READINESS_TIMEOUT_SECS: u64 = 1;

/// Distributes callers round-robin over the daemons that report ready.
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
    /// Starts polling `daemons`, which count as ready until the first check.
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

    /// Replaces the list of daemons. All of them count as ready until the next check.
    pub fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        self.shared.set_daemons(daemons);
    }

    /// The ready daemons in the order in which one call tries them.
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
            // The panic hook has already printed the message of a panicked thread.
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
            // Discards the result if `set_daemons` replaced the list during the checks.
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
