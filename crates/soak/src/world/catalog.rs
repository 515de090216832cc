//! What operators write: routes, services, keys.

use super::{store::Store, COLD_PER_S};
use crate::history::{History, Observation};
use persimmon_core::{
    catalog::{
        ApiKey, CallKind, CallerLimits, EngineProfile, KeyHolder, RawCatalog, Route, Service,
        Target,
    },
    ids::{CatalogVersion, IdError},
    units::{Millis, Tokens},
};
use persimmon_platform::stub_formats::catalog_row;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";

/// Names of the services: model engines, and plain servers.
pub(crate) const ENGINES: &str = "engines";
pub(crate) const DESKS: &str = "desks";

/// Requests that an upstream processes at once.
pub(crate) const SLOTS_LEN: u32 = 12;

/// Memory of an engine.
pub(crate) const MEMORY: Tokens = Tokens::new(200_000);

/// Prompt tokens that an engine reads in a millisecond.
pub(crate) const READ_TOKENS_PER_MS: f64 = 177.0;

/// Longest pause between events for an answer that is on time.
const PAUSE_TARGET_MS: Millis = Millis::new(250);

/// Version of the first catalog, and the step to the next one.
const VERSION_STEP: u64 = 7;

/// Keys that callers have in the first catalog.
const KEYS_LEN: usize = 6;

/// Routes that stay: the name, and what may be repeated.
pub(crate) const ROUTES: [(&str, CallKind); 4] = [
    (
        "resumable",
        CallKind::Streaming {
            resumable: true,
            pause_target_ms: PAUSE_TARGET_MS,
        },
    ),
    (
        "streamed",
        CallKind::Streaming {
            resumable: false,
            pause_target_ms: PAUSE_TARGET_MS,
        },
    ),
    ("order", CallKind::NonIdempotent),
    ("status", CallKind::Idempotent),
];

/// Writes catalogs, and knows which keys and routes are in force.
#[derive(Clone, Debug)]
pub(crate) struct CatalogDesk {
    store: Store,
    history: History,
    state: Arc<Mutex<Desk>>,
}

#[derive(Debug)]
struct Desk {
    version: u64,
    keys: Vec<Arc<str>>,
    keys_count: usize,
    extra: Option<Arc<str>>,
    extras_count: usize,
}

impl CatalogDesk {
    pub(crate) fn open(store: Store, history: History) -> Result<Self, IdError> {
        let desk = Self {
            store,
            history,
            state: Arc::new(Mutex::new(Desk {
                version: 0,
                keys: (0..KEYS_LEN).map(key).collect(),
                keys_count: KEYS_LEN,
                extra: None,
                extras_count: 0,
            })),
        };
        let mut state = desk.lock();
        desk.write(&mut state)?;
        drop(state);
        Ok(desk)
    }

    /// Keys that are in force.
    pub(crate) fn keys(&self) -> Vec<Arc<str>> {
        self.lock().keys.clone()
    }

    /// Route that comes and goes, where it is in force.
    pub(crate) fn extra(&self) -> Option<Arc<str>> {
        self.lock().extra.clone()
    }

    /// Takes the oldest key away and gives a new one.
    pub(crate) fn change_key(&self) -> Result<(), IdError> {
        let mut state = self.lock();
        let gone = state.keys.remove(0);
        state.keys_count += 1;
        let new = key(state.keys_count);
        state.keys.push(Arc::clone(&new));
        self.write(&mut state)?;
        self.history.note(Observation::KeyGone { key: gone });
        self.history.note(Observation::KeyNew { key: new });
        Ok(())
    }

    /// Drops the route that comes and goes, or adds a new one.
    pub(crate) fn change_route(&self) -> Result<(), IdError> {
        let mut state = self.lock();
        let gone = state.extra.take();
        if gone.is_none() {
            state.extras_count += 1;
            state.extra = Some(format!("extra{}", state.extras_count).into());
        }
        let new = state.extra.clone();
        self.write(&mut state)?;
        if let Some(route) = gone {
            self.history.note(Observation::RouteGone { route });
        }
        if let Some(route) = new {
            self.history.note(Observation::RouteNew { route });
        }
        Ok(())
    }

    fn write(&self, state: &mut Desk) -> Result<(), IdError> {
        state.version += VERSION_STEP;
        let mut routes = Vec::new();
        for (name, kind) in ROUTES {
            routes.push(route(name, kind)?);
        }
        if let Some(extra) = &state.extra {
            routes.push(route(extra, CallKind::Idempotent)?);
        }
        let mut keys = Vec::new();
        for (index, key) in state.keys.iter().enumerate() {
            let workspace = format!("workspace-{}", index % 2).parse()?;
            let holder = KeyHolder {
                workspace,
                priority: None,
            };
            keys.push((ApiKey::from(&**key), holder));
        }
        self.store.put(catalog_row(&RawCatalog {
            version: CatalogVersion::new(state.version),
            routes,
            services: vec![service(ENGINES, Some(profile()))?, service(DESKS, None)?],
            limits: CallerLimits {
                head_max_bytes: 16 << 10,
                body_max_bytes: 1 << 20,
                head_timeout_ms: Millis::new(3_000),
                idle_timeout_ms: Millis::new(15_000),
            },
            keys: Some(keys),
        }));
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Desk> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(index: usize) -> Arc<str> {
    format!("key-{index:04}").into()
}

/// A route of the deployment.
fn route(name: &str, kind: CallKind) -> Result<Route, IdError> {
    let streams = matches!(kind, CallKind::Streaming { .. });
    let service = if streams { ENGINES } else { DESKS };
    Ok(Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout_ms: Millis::new(if streams { 10_000 } else { 2_500 }),
        target_latency_ms: Millis::new(if streams { 300 } else { 150 }),
        priority: 1,
        targets: vec![Target {
            service: service.parse()?,
            weight_ratio: 1,
        }],
        max_attempts: 2,
        is_public: false,
    })
}

fn service(name: &str, engine: Option<EngineProfile>) -> Result<Service, IdError> {
    Ok(Service {
        name: name.parse()?,
        connections_max_len: 200,
        cold_start_ms: Millis::new(3_000),
        cold_per_s: COLD_PER_S,
        engine,
    })
}

fn profile() -> EngineProfile {
    EngineProfile {
        slots_len: SLOTS_LEN,
        kv_tokens: MEMORY,
        stride_len: 30,
        step_ms: 0.85,
        per_sequence_ms: 0.004,
        per_k_context_ms: 0.003,
        prefill_tokens_per_ms: READ_TOKENS_PER_MS,
        per_m_pairs_ms: 0.0,
        chunk_tokens: Tokens::new(2_048),
    }
}
