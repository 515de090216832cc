//! The platform's balancer: asks daemons whether they take callers, and leads new connections.

use crate::world::Daemon;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time between two questions to a daemon, and the time for its answer.
const ASK_PAUSE: Duration = Duration::from_secs(1);

/// Questions in a row without a good answer that take a daemon out.
const MISSES_MAX_COUNT: u32 = 2;

/// Which daemons take callers.
#[derive(Debug)]
pub(crate) struct Balancer {
    daemons: Vec<Arc<Daemon>>,
    misses: Vec<AtomicU32>,
}

impl Balancer {
    /// Asks from now on.
    pub(crate) fn start(daemons: &[Arc<Daemon>]) -> Arc<Self> {
        let misses = daemons.iter().map(|_| AtomicU32::new(0));
        let balancer = Arc::new(Self {
            daemons: daemons.to_vec(),
            misses: misses.collect(),
        });
        for index in 0..daemons.len() {
            tokio::spawn(Arc::clone(&balancer).ask(index));
        }
        balancer
    }

    async fn ask(self: Arc<Self>, index: usize) {
        loop {
            let ready = timeout(ASK_PAUSE, is_ready(self.daemons[index].readiness)).await;
            if ready.unwrap_or(false) {
                self.misses[index].store(0, Ordering::Relaxed);
            } else {
                self.misses[index].fetch_add(1, Ordering::Relaxed);
            }
            sleep(ASK_PAUSE).await;
        }
    }

    /// Daemons that take new connections; all, where none says that it does.
    pub(crate) fn ready(&self) -> Vec<Arc<Daemon>> {
        let with_misses = self.daemons.iter().zip(&self.misses);
        let ready: Vec<_> = with_misses
            .filter(|(_, misses)| misses.load(Ordering::Relaxed) < MISSES_MAX_COUNT)
            .map(|(daemon, _)| Arc::clone(daemon))
            .collect();
        if ready.is_empty() {
            self.daemons.clone()
        } else {
            ready
        }
    }
}

/// Whether a daemon says that it takes callers.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        let question = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        stream.write_all(question).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    ask.await
        .is_ok_and(|answer| answer.starts_with(b"HTTP/1.1 200"))
}
