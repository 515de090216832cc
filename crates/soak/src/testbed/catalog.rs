//! The catalog that operators write: routes, services and keys.

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
pub(crate) const PLAIN_SERVERS: &str = "desks";

/// Requests that an upstream processes concurrently.
pub(crate) const SLOTS_LEN: u32 = 12;

/// KV memory of an engine.
pub(crate) const KV_MEMORY: Tokens = Tokens::new(200_000);

/// Prefill rate of an engine.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 177.0;

/// Target for the longest pause between two events of a stream.
const PAUSE_TARGET_MS: Millis = Millis::new(250);

/// Version of the first catalog, and the difference between successive versions.
const VERSION_STEP: u64 = 7;

/// Number of caller keys in force.
const KEYS_LEN: usize = 6;

/// Routes that every catalog has, with their call kinds.
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

/// Writes catalogs to the store, and tracks the keys and routes in force.
#[derive(Clone, Debug)]
pub(crate) struct CatalogWriter {
    store: Store,
    history: History,
    state: Arc<Mutex<CatalogState>>,
}

#[derive(Debug)]
struct CatalogState {
    version: u64,
    keys: Vec<Arc<str>>,
    keys_count: usize,
    optional_route: Option<Arc<str>>,
    optional_routes_count: usize,
}

impl CatalogWriter {
    pub(crate) fn open(store: Store, history: History) -> Result<Self, IdError> {
        let writer = Self {
            store,
            history,
            state: Arc::new(Mutex::new(CatalogState {
                version: 0,
                keys: (0..KEYS_LEN).map(key_name).collect(),
                keys_count: KEYS_LEN,
                optional_route: None,
                optional_routes_count: 0,
            })),
        };
        let mut state = writer.lock();
        writer.write(&mut state)?;
        drop(state);
        Ok(writer)
    }

    /// Keys that are in force.
    pub(crate) fn keys(&self) -> Vec<Arc<str>> {
        self.lock().keys.clone()
    }

    /// The optional route, where it is in force.
    pub(crate) fn optional_route(&self) -> Option<Arc<str>> {
        self.lock().optional_route.clone()
    }

    /// Revokes the oldest key and adds a new one.
    pub(crate) fn rotate_key(&self) -> Result<(), IdError> {
        let mut state = self.lock();
        let removed = state.keys.remove(0);
        state.keys_count += 1;
        let added = key_name(state.keys_count);
        state.keys.push(Arc::clone(&added));
        self.write(&mut state)?;
        self.history
            .record(Observation::KeyRevoked { key: removed });
        self.history.record(Observation::KeyAdded { key: added });
        Ok(())
    }

    /// Removes the optional route, or adds one under a new name.
    pub(crate) fn toggle_route(&self) -> Result<(), IdError> {
        let mut state = self.lock();
        let removed = state.optional_route.take();
        if removed.is_none() {
            state.optional_routes_count += 1;
            state.optional_route = Some(format!("extra{}", state.optional_routes_count).into());
        }
        let added = state.optional_route.clone();
        self.write(&mut state)?;
        if let Some(route) = removed {
            self.history.record(Observation::RouteRemoved { route });
        }
        if let Some(route) = added {
            self.history.record(Observation::RouteAdded { route });
        }
        Ok(())
    }

    /// Writes the catalog again, with the same version.
    pub(crate) fn write_again(&self) -> Result<(), IdError> {
        self.put_catalog(&self.lock())
    }

    fn write(&self, state: &mut CatalogState) -> Result<(), IdError> {
        state.version += VERSION_STEP;
        self.put_catalog(state)
    }

    fn put_catalog(&self, state: &CatalogState) -> Result<(), IdError> {
        let mut routes = Vec::new();
        for (name, kind) in ROUTES {
            routes.push(route(name, kind)?);
        }
        if let Some(optional_route) = &state.optional_route {
            routes.push(route(optional_route, CallKind::Idempotent)?);
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
            services: vec![
                service(ENGINES, Some(profile()))?,
                service(PLAIN_SERVERS, None)?,
            ],
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

    fn lock(&self) -> MutexGuard<'_, CatalogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key_name(index: usize) -> Arc<str> {
    format!("key-{index:04}").into()
}

/// Builds a route to the service for its call kind.
fn route(name: &str, kind: CallKind) -> Result<Route, IdError> {
    let is_streaming = matches!(kind, CallKind::Streaming { .. });
    let service = if is_streaming { ENGINES } else { PLAIN_SERVERS };
    Ok(Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout_ms: Millis::new(if is_streaming { 10_000 } else { 2_500 }),
        target_latency_ms: Millis::new(if is_streaming { 300 } else { 150 }),
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
        kv_tokens: KV_MEMORY,
        stride_len: 30,
        step_ms: 0.85,
        per_sequence_ms: 0.004,
        per_k_context_ms: 0.003,
        prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
        per_m_pairs_ms: 0.0,
        chunk_tokens: Tokens::new(2_048),
    }
}
