//! Fixtures for tests of the dispatcher: a catalog, upstreams, and daemons in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod callers;
pub(crate) mod engine;
pub(crate) mod node;
pub(crate) mod replay;
pub(crate) mod site;

use persimmon_core::{
    catalog::{
        ApiKey, CallKind, CallerLimits, EngineProfile, KeyHolder, RawCatalog, Route, Service,
        Target,
    },
    dispatch::{Call, DispatchEvent},
    fleet::UpstreamRecord,
    ids::{CallId, CatalogVersion, Fingerprint, StoreEra, StoreVersion, VmId},
    path::{PathAttempt, PathAttempts, PathEnd, PathPlan},
    units::{ByteCount, Millis, Tokens},
    watch::{Batch, Change, StorePosition},
};
use std::{fmt::Debug, str::FromStr};

pub(crate) const KEY: &str = "key-of-line-1";
pub(crate) const ENGINES: &str = "advisor";
pub(crate) const PLAIN: &str = "orders";

pub(crate) fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Engine profile of the first site, rounded.
pub(crate) fn profile() -> EngineProfile {
    EngineProfile {
        slots_len: 16,
        kv_tokens: Tokens::new(315_000),
        stride_len: 51,
        step_ms: 0.85,
        per_sequence_ms: 0.004,
        per_k_context_ms: 0.003,
        prefill_tokens_per_ms: 177.0,
        per_m_pairs_ms: 0.184,
        chunk_tokens: Tokens::new(2_048),
    }
}

pub(super) fn route(name: &str, kind: CallKind, service: &str, target: u64, timeout: u64) -> Route {
    Route {
        name: name.into(),
        host: "cells.example".into(),
        prefix: format!("/{name}/"),
        kind,
        timeout_ms: ms(timeout),
        target_latency_ms: ms(target),
        priority: 1,
        targets: vec![Target {
            service: id(service),
            weight_ratio: 1,
        }],
        max_attempts: if kind == CallKind::NonIdempotent {
            1
        } else {
            2
        },
        is_public: false,
    }
}

pub(super) fn streaming(pause: u64) -> CallKind {
    CallKind::Streaming {
        resumable: true,
        pause_target_ms: ms(pause),
    }
}

pub(crate) fn catalog(version: u64) -> RawCatalog {
    let service = |name: &str, engine, cold_per_s| Service {
        name: id(name),
        connections_max_len: 400,
        cold_start_ms: ms(3_000),
        cold_per_s,
        engine,
    };
    RawCatalog {
        version: CatalogVersion::new(version),
        routes: vec![
            route("alarm", streaming(250), ENGINES, 300, 10_000),
            route("review", streaming(600), ENGINES, 1_500, 10_000),
            route("digest", streaming(1_000), ENGINES, 3_000, 15_000),
            route("order", CallKind::NonIdempotent, PLAIN, 150, 1_200),
            route("status", CallKind::Idempotent, PLAIN, 150, 1_200),
        ],
        services: vec![
            service(ENGINES, Some(profile()), 36.0),
            service(PLAIN, None, 0.0),
        ],
        limits: CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 4_194_304,
            head_timeout_ms: ms(3_000),
            idle_timeout_ms: ms(15_000),
        },
        keys: Some(vec![key(KEY, "line-1")]),
    }
}

/// A key of a workspace.
pub(crate) fn key(key: &str, workspace: &str) -> (ApiKey, KeyHolder) {
    let workspace = id(workspace);
    let holder = KeyHolder {
        workspace,
        priority: None,
    };
    (ApiKey::from(key), holder)
}

pub(crate) fn upstream(service: &str, number: u16) -> UpstreamRecord {
    let slots_len = if service == PLAIN { 6 } else { 16 };
    UpstreamRecord {
        id: id(&format!("{service}-{number}")),
        service: id(service),
        address: format!("10.0.0.{number}:8080").parse().unwrap(),
        domain: id(["a", "b", "c"][usize::from(number % 3)]),
        slots_len,
        draining: false,
        cold_remaining_ms: Millis::ZERO,
        started_unix_ms: 1,
        writes_count: 1,
    }
}

/// Attempts to connect that all ended in the same way.
pub(crate) fn attempts(plan: &PathPlan, end: PathEnd) -> PathAttempts {
    let paths = plan.paths.iter().cloned();
    PathAttempts(paths.map(|path| PathAttempt { path, end }).collect())
}

/// A position of the store in its first era.
pub(crate) fn position(version: u64) -> StorePosition {
    position_in(0, version)
}

pub(crate) fn position_in(era: u64, version: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), StoreVersion::new(version))
}

pub(crate) fn batch(version: u64, whole: bool, changes: Vec<Change>) -> Batch {
    batch_at(position(version), whole, changes)
}

pub(crate) fn batch_at(position: StorePosition, whole: bool, changes: Vec<Change>) -> Batch {
    Batch {
        position,
        after: (!whole).then(|| position_in(position.era.get(), 0)),
        has_rows: !changes.is_empty(),
        changes,
    }
}

/// The list of daemons as one of them reads it at its start.
pub(crate) fn daemons_listed(vms: impl Iterator<Item = VmId>) -> DispatchEvent {
    DispatchEvent::DaemonsListed {
        vms: vms.collect(),
        age_ms: Millis::ZERO,
    }
}

/// A call to a plain service.
pub(crate) fn plain_call(route: &str, number: u64) -> Call {
    Call {
        id: CallId::new(number),
        request_id: format!("request-{number}").into(),
        host: "cells.example".into(),
        path: format!("/{route}/x"),
        key: Some(ApiKey::from(KEY)),
        deadline_ms: Some(ms(1_500)),
        prompt: None,
        fingerprints: Vec::new(),
        prefix: Default::default(),
        content: Fingerprint::new(number),
        body_bytes: ByteCount::ZERO,
        age_ms: Millis::ZERO,
    }
}

pub(crate) fn upstream_list(engines_len: u16, plain_len: u16) -> Vec<Change> {
    let engines = (1..=engines_len).map(|number| upstream(ENGINES, number));
    let plain = (1..=plain_len).map(|number| upstream(PLAIN, 100 + number));
    let records = engines.chain(plain);
    records
        .map(|record| Change::Upstream(Box::new(record)))
        .collect()
}
