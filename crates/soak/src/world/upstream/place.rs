//! A place at which upstreams start one after the other.

use super::{
    grey::Grey,
    incarnation::{incarnation, Incarnation},
};
use crate::{
    history::{History, Observation},
    world::{
        catalog::{DESKS, ENGINES},
        proxy::Proxy,
        store::Store,
    },
};
use persimmon_core::{
    ids::{FailureDomain, UpstreamId},
    units::Millis,
};
use persimmon_platform::stub_formats::registration_row;
use std::{
    io,
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

/// Time between two writes of an upstream's own entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after which the entry of an upstream that is gone without a word is removed.
const LAPSE: Duration = Duration::from_millis(3_600);

/// A place at which upstreams start one after the other, at one address.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) proxy: Proxy,
    domain: FailureDomain,
    service: &'static str,
    name: String,
    starts: AtomicU64,
    history: History,
    store: Store,
    now: Mutex<Arc<Incarnation>>,
}

impl Upstream {
    /// An upstream that runs and registers itself.
    pub(crate) async fn start(
        index: usize,
        engine: bool,
        domain: FailureDomain,
        history: &History,
        store: &Store,
    ) -> io::Result<Arc<Self>> {
        let proxy = Proxy::start(None).await?;
        let service = if engine { ENGINES } else { DESKS };
        let name = format!("{service}-{index}");
        let first = incarnation(&name, 0, service, &domain, history).map_err(io::Error::other)?;
        let upstream = Arc::new(Self {
            proxy,
            domain,
            service,
            name,
            starts: AtomicU64::new(0),
            history: history.clone(),
            store: store.clone(),
            now: Mutex::new(Arc::clone(&first)),
        });
        upstream.run(first).await?;
        Ok(upstream)
    }

    pub(crate) fn id(&self) -> UpstreamId {
        self.current().id.clone()
    }

    pub(crate) fn set_grey(&self, grey: Grey) {
        self.current().lock().grey = grey;
    }

    /// Turns cold again.
    pub(crate) fn chill(&self, span: Duration) {
        let current = self.current();
        current.lock().cold_until = Some(Instant::now() + span);
        current.write(&self.store, self.proxy.address());
        self.history.note(Observation::Cold {
            upstream: current.id.clone(),
            for_ms: Millis::new(span.as_millis() as u64),
        });
    }

    /// Says that it leaves, serves on for a while, and ends; a new one follows.
    pub(crate) async fn leave(self: Arc<Self>, serve_for: Duration) -> io::Result<()> {
        let current = self.current();
        current.lock().draining = true;
        current.write(&self.store, self.proxy.address());
        self.history.note(Observation::Leaving {
            upstream: current.id.clone(),
        });
        sleep(serve_for).await;
        let (table, key, _) = registration_row(&current.record(self.proxy.address()));
        self.store.remove(table, key);
        self.end(&current);
        self.start_next().await
    }

    /// Ends without a word; a new one follows, and the old entry lapses.
    pub(crate) async fn crash(self: Arc<Self>, away_for: Duration) -> io::Result<()> {
        let current = self.current();
        self.end(&current);
        let (table, key, _) = registration_row(&current.record(self.proxy.address()));
        let store = self.store.clone();
        tokio::spawn(async move {
            sleep(LAPSE).await;
            store.remove(table, key);
        });
        sleep(away_for).await;
        self.start_next().await
    }

    fn end(&self, current: &Incarnation) {
        self.proxy.lead_to(None);
        current.ended.send_replace(true);
    }

    async fn start_next(&self) -> io::Result<()> {
        let index = self.starts.fetch_add(1, Ordering::Relaxed) + 1;
        let next = incarnation(&self.name, index, self.service, &self.domain, &self.history);
        let next = next.map_err(io::Error::other)?;
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&next);
        self.run(next).await
    }

    async fn run(&self, incarnation: Arc<Incarnation>) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.proxy.lead_to(Some(listener.local_addr()?));
        tokio::spawn(Arc::clone(&incarnation).accept(listener));
        let (store, address) = (self.store.clone(), self.proxy.address());
        tokio::spawn(async move {
            let mut ended = incarnation.ended.subscribe();
            while !*ended.borrow() {
                incarnation.write(&store, address);
                // The sender lives as long as the incarnation.
                let _ = timeout(HEARTBEAT, ended.changed()).await;
            }
        });
        Ok(())
    }

    fn current(&self) -> Arc<Incarnation> {
        Arc::clone(&self.now.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
