//! Stand-in for the platform's load balancer: polls the daemons' readiness and picks daemons for new
//! connections.

use crate::testbed::Daemon;
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

/// Pause between two readiness probes of a daemon, and the timeout of a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive failed probes after which a daemon gets no new connections.
const FAILED_PROBES_MAX_COUNT: u32 = 2;

/// Tracks which daemons are ready.
#[derive(Debug)]
pub(crate) struct Balancer {
    daemons: Vec<Arc<Daemon>>,
    failed_probes: Vec<AtomicU32>,
}

impl Balancer {
    /// Starts to probe the daemons.
    pub(crate) fn start(daemons: &[Arc<Daemon>]) -> Arc<Self> {
        let failed_probes = daemons.iter().map(|_| AtomicU32::new(0));
        let balancer = Arc::new(Self {
            daemons: daemons.to_vec(),
            failed_probes: failed_probes.collect(),
        });
        for index in 0..daemons.len() {
            tokio::spawn(Arc::clone(&balancer).probe(index));
        }
        balancer
    }

    async fn probe(self: Arc<Self>, index: usize) {
        loop {
            let ready = timeout(PROBE_INTERVAL, is_ready(self.daemons[index].readiness)).await;
            if ready.unwrap_or(false) {
                self.failed_probes[index].store(0, Ordering::Relaxed);
            } else {
                self.failed_probes[index].fetch_add(1, Ordering::Relaxed);
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Daemons for new connections: the ready ones, or all where none is ready.
    pub(crate) fn ready(&self) -> Vec<Arc<Daemon>> {
        let with_failures = self.daemons.iter().zip(&self.failed_probes);
        let ready: Vec<_> = with_failures
            .filter(|(_, failed_probes)| {
                failed_probes.load(Ordering::Relaxed) < FAILED_PROBES_MAX_COUNT
            })
            .map(|(daemon, _)| Arc::clone(daemon))
            .collect();
        if ready.is_empty() {
            self.daemons.clone()
        } else {
            ready
        }
    }
}

/// Whether a daemon's readiness endpoint answers with status 200.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        std::io::Result::Ok(response)
    };
    exchange
        .await
        .is_ok_and(|response| response.starts_with(b"HTTP/1.1 200"))
}
