//! Seeded load generator.

use super::{
    connection::{Connection, RequestSpec},
    Balancer, ResponseSpec,
};
use crate::{
    history::History,
    testbed::{CatalogWriter, ROUTES},
};
use persimmon_core::{
    catalog::CallKind,
    units::{Millis, Tokens},
};
use rand_chacha::{
    rand_core::{Rng, SeedableRng},
    ChaCha8Rng,
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Number of callers and their request rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadProfile {
    /// Callers, each with one connection at a time.
    pub(crate) callers_len: usize,
    /// Mean pause of a caller before each request.
    pub(crate) think_time_ms: Millis,
}

/// The caller of one in this many requests disconnects 20 to 819 ms after sending.
const DISCONNECT_EVERY: u64 = 25;

/// One in this many prompts needs the memory of several engines.
const HUGE_EVERY: u64 = 60;

/// One in this many prompts is long.
const LONG_EVERY: u64 = 9;

/// Closed-loop load generator: each caller sends its next request after the end of the last one.
#[derive(Debug)]
pub(crate) struct LoadGenerator {
    stop: watch::Sender<bool>,
}

#[derive(Clone)]
struct Caller {
    index: usize,
    balancer: Arc<Balancer>,
    catalog: CatalogWriter,
    history: History,
    think_time_ms: Millis,
}

impl LoadGenerator {
    /// Starts all callers.
    pub(crate) fn start(
        seed: u64,
        profile: LoadProfile,
        balancer: &Arc<Balancer>,
        catalog: &CatalogWriter,
        history: &History,
    ) -> Self {
        let stop = watch::Sender::new(false);
        for index in 0..profile.callers_len {
            let caller = Caller {
                index,
                balancer: Arc::clone(balancer),
                catalog: catalog.clone(),
                history: history.clone(),
                think_time_ms: profile.think_time_ms,
            };
            let rng = ChaCha8Rng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
            tokio::spawn(caller.run(rng, stop.subscribe()));
        }
        Self { stop }
    }

    /// Stops sending requests; open ones continue.
    pub(crate) fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Caller {
    async fn run(self, mut rng: ChaCha8Rng, mut stop: watch::Receiver<bool>) {
        let mut connection = None;
        let mut count = 0u64;
        while !*stop.borrow() {
            let think_time_ms = rng.next_u64() % (2 * self.think_time_ms.get()).max(1);
            // Ends after the pause or at the stop; the sender lives as long as the load generator.
            let _ = timeout(Duration::from_millis(think_time_ms), stop.changed()).await;
            count += 1;
            let spec = self.next_request(&mut rng, count);
            connection = self.open_connection(connection, &mut rng).await;
            let Some(open) = &mut connection else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            if !open.send(&spec, &self.history).await {
                connection = None;
            }
        }
    }

    async fn open_connection(
        &self,
        previous: Option<Connection>,
        rng: &mut ChaCha8Rng,
    ) -> Option<Connection> {
        if let Some(open) = previous.filter(Connection::is_open) {
            return Some(open);
        }
        let ready = self.balancer.ready();
        let daemon = ready.get(rng.next_u64() as usize % ready.len())?;
        Connection::open(daemon.index, daemon.callers.address()).await
    }

    fn next_request(&self, rng: &mut ChaCha8Rng, count: u64) -> RequestSpec {
        let drawn = rng.next_u64() as usize % (ROUTES.len() + 2);
        let (route, kind) = match (ROUTES.get(drawn), self.catalog.optional_route()) {
            (Some((route, kind)), _) => ((*route).into(), *kind),
            (None, Some(optional_route)) if drawn == ROUTES.len() => {
                (optional_route, CallKind::Idempotent)
            }
            (None, _) => (ROUTES[0].0.into(), ROUTES[0].1),
        };
        let keys = self.catalog.keys();
        let key = Arc::clone(&keys[rng.next_u64() as usize % keys.len()]);
        let is_streaming = matches!(kind, CallKind::Streaming { .. });
        let prompt = match rng.next_u64() {
            draw if draw % HUGE_EVERY == 0 => 210_000 + draw / 64 % 60_000,
            draw if draw % LONG_EVERY == 0 => 20_000 + draw / 16 % 60_000,
            draw => 500 + draw / 4 % 8_000,
        };
        let disconnects = rng.next_u64() % DISCONNECT_EVERY == 0;
        let disconnect_ms = 20 + rng.next_u64() % 800;
        RequestSpec {
            request_id: format!("c{}-{count}", self.index).into(),
            kind,
            route,
            key,
            deadline_ms: Millis::new(if is_streaming { 10_000 } else { 2_500 }),
            prompt_tokens: Tokens::new(prompt),
            response_spec: ResponseSpec {
                events_len: if is_streaming {
                    3 + rng.next_u64() % 20
                } else {
                    1
                },
                pause_ms: Millis::new(if is_streaming {
                    30 + rng.next_u64() % 40
                } else {
                    20
                }),
            },
            disconnect_after_ms: disconnects.then(|| Millis::new(disconnect_ms)),
        }
    }
}
