//! Seeded load of many callers.

use super::{
    exchange::{Connection, Question},
    Balancer, Script,
};
use crate::{
    history::History,
    world::{CatalogDesk, ROUTES},
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

/// How many callers ask how often.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Callers, each with one connection at a time.
    pub(crate) callers_len: usize,
    /// Mean time between two requests of a caller.
    pub(crate) pause_ms: Millis,
}

/// One in so many callers' requests is left before its answer.
const LEAVE_EVERY: u64 = 25;

/// One in so many prompts needs the memory of several engines.
const HUGE_EVERY: u64 = 60;

/// One in so many is long.
const LONG_EVERY: u64 = 9;

/// Seeded load of many callers.
#[derive(Debug)]
pub(crate) struct Load {
    stop: watch::Sender<bool>,
}

#[derive(Clone)]
struct Caller {
    name: usize,
    balancer: Arc<Balancer>,
    desk: CatalogDesk,
    history: History,
    pause_ms: Millis,
}

impl Load {
    /// Starts all callers.
    pub(crate) fn start(
        seed: u64,
        pace: Pace,
        balancer: &Arc<Balancer>,
        desk: &CatalogDesk,
        history: &History,
    ) -> Self {
        let stop = watch::Sender::new(false);
        for name in 0..pace.callers_len {
            let caller = Caller {
                name,
                balancer: Arc::clone(balancer),
                desk: desk.clone(),
                history: history.clone(),
                pause_ms: pace.pause_ms,
            };
            let draws = ChaCha8Rng::seed_from_u64(seed ^ ((name as u64 + 1) << 32));
            tokio::spawn(caller.run(draws, stop.subscribe()));
        }
        Self { stop }
    }

    /// No more requests; those that are open go on.
    pub(crate) fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Caller {
    async fn run(self, mut draws: ChaCha8Rng, mut stop: watch::Receiver<bool>) {
        let mut connection = None;
        let mut count = 0u64;
        while !*stop.borrow() {
            let pause_ms = draws.next_u64() % (2 * self.pause_ms.get()).max(1);
            // The sender lives as long as the load.
            let _ = timeout(Duration::from_millis(pause_ms), stop.changed()).await;
            count += 1;
            let question = self.question(&mut draws, count);
            connection = self.connection(connection, &mut draws).await;
            let Some(open) = &mut connection else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            if !open.ask(&question, &self.history).await {
                connection = None;
            }
        }
    }

    async fn connection(
        &self,
        kept: Option<Connection>,
        draws: &mut ChaCha8Rng,
    ) -> Option<Connection> {
        if let Some(kept) = kept.filter(Connection::is_open) {
            return Some(kept);
        }
        let ready = self.balancer.ready();
        let daemon = ready.get(draws.next_u64() as usize % ready.len())?;
        Connection::open(daemon.index, daemon.callers.address()).await
    }

    fn question(&self, draws: &mut ChaCha8Rng, count: u64) -> Question {
        let drawn = draws.next_u64() as usize % (ROUTES.len() + 2);
        let (route, kind) = match (ROUTES.get(drawn), self.desk.extra()) {
            (Some((route, kind)), _) => ((*route).into(), *kind),
            (None, Some(extra)) if drawn == ROUTES.len() => (extra, CallKind::Idempotent),
            (None, _) => (ROUTES[0].0.into(), ROUTES[0].1),
        };
        let keys = self.desk.keys();
        let key = Arc::clone(&keys[draws.next_u64() as usize % keys.len()]);
        let streams = matches!(kind, CallKind::Streaming { .. });
        let prompt = match draws.next_u64() {
            draw if draw % HUGE_EVERY == 0 => 210_000 + draw / 64 % 60_000,
            draw if draw % LONG_EVERY == 0 => 20_000 + draw / 16 % 60_000,
            draw => 500 + draw / 4 % 8_000,
        };
        let leaves = draws.next_u64() % LEAVE_EVERY == 0;
        let leaves_ms = 20 + draws.next_u64() % 800;
        Question {
            tag: format!("c{}-{count}", self.name).into(),
            kind,
            route,
            key,
            deadline_ms: Millis::new(if streams { 10_000 } else { 2_500 }),
            prompt_tokens: Tokens::new(prompt),
            script: Script {
                events_len: if streams {
                    3 + draws.next_u64() % 20
                } else {
                    1
                },
                pause_ms: Millis::new(if streams {
                    30 + draws.next_u64() % 40
                } else {
                    20
                }),
            },
            leaves_after_ms: leaves.then(|| Millis::new(leaves_ms)),
        }
    }
}
