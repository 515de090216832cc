//! An upstream that restarts under a new id at the same address.

use super::{
    grey_failure::GreyFailure,
    incarnation::{new_incarnation, Incarnation},
};
use crate::{
    history::{History, Observation},
    testbed::{
        catalog::{ENGINES, PLAIN_SERVERS},
        daemon::Network,
        proxy::Proxy,
        store::Store,
    },
};
use persimmon_core::{
    ids::{FailureDomain, UpstreamId},
    units::{Millis, RequestsPerSecond},
};
use persimmon_platform::stub_formats::registration_row;
use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    time::{sleep, timeout, Instant},
};

/// Interval at which an upstream rewrites its entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after a crash until the upstream's entry is removed from the store.
pub(crate) const ENTRY_TTL: Duration = Duration::from_millis(3_600);

/// An upstream that restarts under a new id at the same address, behind a proxy.
#[derive(Debug)]
pub(crate) struct RestartableUpstream {
    /// The link to the upstream that all daemons share, behind their own ones.
    pub(crate) proxy: Proxy,
    /// The address that is registered.
    pub(crate) address: SocketAddr,
    domain: FailureDomain,
    service: &'static str,
    name: String,
    starts_count: AtomicU64,
    history: History,
    store: Store,
    current_incarnation: Mutex<Arc<Incarnation>>,
}

impl RestartableUpstream {
    /// Starts an upstream, which registers itself in the store.
    pub(crate) async fn start(
        index: usize,
        engine: bool,
        domain: FailureDomain,
        history: &History,
        store: &Store,
    ) -> io::Result<Arc<Self>> {
        let proxy = Proxy::start(None).await?;
        let service = if engine { ENGINES } else { PLAIN_SERVERS };
        let name = format!("{service}-{index}");
        let first =
            new_incarnation(&name, 0, service, &domain, history).map_err(io::Error::other)?;
        let upstream = Arc::new(Self {
            proxy,
            address: Network::upstream_address(index),
            domain,
            service,
            name,
            starts_count: AtomicU64::new(0),
            history: history.clone(),
            store: store.clone(),
            current_incarnation: Mutex::new(Arc::clone(&first)),
        });
        upstream.run(first).await?;
        Ok(upstream)
    }

    pub(crate) fn id(&self) -> UpstreamId {
        self.current().id.clone()
    }

    pub(crate) fn set_grey_failure(&self, grey_failure: GreyFailure) {
        let current = self.current();
        let mut state = current.lock();
        state.grey_failure = grey_failure;
        state.sheds_until = None;
    }

    /// Sets the rate that the upstream states in its answers.
    pub(crate) fn set_rate_limit(&self, per_s: Option<RequestsPerSecond>) {
        let current = self.current();
        current.lock().rate_limit = per_s;
        self.history.record(Observation::RateLimitChanged {
            upstream: current.id.clone(),
            per_s,
        });
    }

    /// Makes the upstream cold for `span`, and registers that.
    pub(crate) fn set_cold(&self, span: Duration) {
        let current = self.current();
        current.lock().cold_until = Some(Instant::now() + span);
        current.register(&self.store, self.address);
        self.history.record(Observation::UpstreamCold {
            upstream: current.id.clone(),
            for_ms: Millis::new(span.as_millis() as u64),
        });
    }

    /// Announces that the upstream drains, keeps serving for `serve_for`, stops it and starts the next
    /// incarnation.
    pub(crate) async fn drain(self: Arc<Self>, serve_for: Duration) -> io::Result<()> {
        let current = self.current();
        current.lock().draining = true;
        current.register(&self.store, self.address);
        self.history.record(Observation::UpstreamDraining {
            upstream: current.id.clone(),
        });
        sleep(serve_for).await;
        let (table, key, _) = registration_row(&current.upstream_record(self.address));
        self.store.remove(table, key);
        self.stop(&current);
        self.start_next().await
    }

    /// Says in all answers that the upstream is about to stop, but not in its entry. Keeps serving for
    /// `serve_for`, stops it and starts the next incarnation.
    pub(crate) async fn leave(self: Arc<Self>, serve_for: Duration) -> io::Result<()> {
        let current = self.current();
        current.lock().leaving = true;
        sleep(serve_for).await;
        let (table, key, _) = registration_row(&current.upstream_record(self.address));
        self.store.remove(table, key);
        self.stop(&current);
        self.start_next().await
    }

    /// Stops the upstream without notice and starts the next incarnation after `down_for`. The old entry
    /// stays in the store for [`ENTRY_TTL`].
    pub(crate) async fn crash(self: Arc<Self>, down_for: Duration) -> io::Result<()> {
        let current = self.current();
        self.stop(&current);
        let (table, key, _) = registration_row(&current.upstream_record(self.address));
        let store = self.store.clone();
        tokio::spawn(async move {
            sleep(ENTRY_TTL).await;
            store.remove(table, key);
        });
        sleep(down_for).await;
        self.start_next().await
    }

    fn stop(&self, current: &Incarnation) {
        self.proxy.set_target(None);
        current.ended.send_replace(true);
    }

    async fn start_next(&self) -> io::Result<()> {
        let index = self.starts_count.fetch_add(1, Ordering::Relaxed) + 1;
        let next = new_incarnation(&self.name, index, self.service, &self.domain, &self.history);
        let next = next.map_err(io::Error::other)?;
        *self
            .current_incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Arc::clone(&next);
        self.run(next).await
    }

    async fn run(&self, incarnation: Arc<Incarnation>) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.proxy.set_target(Some(listener.local_addr()?));
        tokio::spawn(Arc::clone(&incarnation).accept(listener));
        let (store, address) = (self.store.clone(), self.address);
        tokio::spawn(async move {
            let mut ended = incarnation.ended.subscribe();
            while !*ended.borrow() {
                incarnation.register(&store, address);
                // Ends at the interval or at the stop; the sender lives as long as the incarnation.
                let _ = timeout(HEARTBEAT, ended.changed()).await;
            }
        });
        Ok(())
    }

    fn current(&self) -> Arc<Incarnation> {
        Arc::clone(
            &self
                .current_incarnation
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}
