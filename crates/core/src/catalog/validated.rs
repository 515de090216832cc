//! The validated catalog.

use super::{ApiKey, CallKind, CallerLimits, CatalogError, KeyHolder, Route, Service};
use crate::{
    ids::{CatalogVersion, ServiceName},
    units::Millis,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// A catalog as written by operators, not validated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RawCatalog {
    /// Its version.
    pub version: CatalogVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// API keys and their holders; `None` if callers need no key.
    pub keys: Option<Vec<(ApiKey, KeyHolder)>>,
}

/// A validated catalog.
#[derive(Clone, Debug)]
pub struct Catalog {
    version: CatalogVersion,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Arc<Service>>,
    /// Pause and latency targets of the streaming routes to each service, the shortest pause target first.
    streaming_targets_ms: BTreeMap<ServiceName, Vec<(Millis, Millis)>>,
    limits: CallerLimits,
    keys: Option<HashMap<ApiKey, KeyHolder>>,
}

impl Catalog {
    /// Its version.
    pub const fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Limits for callers.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route of a request: among the routes of its host, the one with the longest prefix that
    /// matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host_name(host))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The lowest pause target among the streaming routes to a service.
    pub fn min_pause_target_ms(&self, service: &ServiceName) -> Option<Millis> {
        let (pause_target_ms, _) = self.streaming_targets_ms(service).first()?;
        Some(*pause_target_ms)
    }

    /// The pause and latency targets of the streaming routes to a service, in order of the pause target.
    pub fn streaming_targets_ms(&self, service: &ServiceName) -> &[(Millis, Millis)] {
        let targets_ms = self.streaming_targets_ms.get(service);
        targets_ms.map_or(&[], Vec::as_slice)
    }

    /// Whether callers of routes that are not public need a key.
    pub const fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The holder of a key.
    pub fn holder(&self, key: &ApiKey) -> Option<&KeyHolder> {
        self.keys.as_ref()?.get(key)
    }
}

impl TryFrom<RawCatalog> for Catalog {
    type Error = CatalogError;

    fn try_from(raw: RawCatalog) -> Result<Self, CatalogError> {
        let named = raw.services.into_iter();
        let services: BTreeMap<_, _> = named.map(|s| (s.name.clone(), Arc::new(s))).collect();
        let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut streaming_targets_ms = BTreeMap::new();
        for route in raw.routes {
            check_route(&route, &services)?;
            record_pause_target(&route, &mut streaming_targets_ms);
            let host = host_name(&route.host);
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self {
            version: raw.version,
            routes,
            services,
            streaming_targets_ms,
            limits: raw.limits,
            keys: raw.keys.map(|keys| keys.into_iter().collect()),
        })
    }
}

fn record_pause_target(
    route: &Route,
    streaming_targets_ms: &mut BTreeMap<ServiceName, Vec<(Millis, Millis)>>,
) {
    let CallKind::Streaming {
        pause_target_ms, ..
    } = route.kind
    else {
        return;
    };
    if pause_target_ms == Millis::ZERO {
        return;
    }
    for target in &route.targets {
        let targets_ms = streaming_targets_ms
            .entry(target.service.clone())
            .or_default();
        targets_ms.push((pause_target_ms, route.target_latency_ms));
        targets_ms.sort_unstable();
    }
}

fn check_route(
    route: &Route,
    services: &BTreeMap<ServiceName, Arc<Service>>,
) -> Result<(), CatalogError> {
    let name = || route.name.clone();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return Err(CatalogError::Prefix {
            route: name(),
            prefix: route.prefix.clone(),
        });
    }
    if route.targets.iter().all(|target| target.weight_ratio == 0) {
        return Err(CatalogError::NoTarget { route: name() });
    }
    let mut named = route.targets.iter().map(|target| &target.service);
    match named.find(|service| !services.contains_key(*service)) {
        Some(service) => Err(CatalogError::UnknownService {
            route: name(),
            service: service.to_string(),
        }),
        None => Ok(()),
    }
}

/// Normalises a host for comparison: lower case, without the port.
fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
