//! The deployment under test.

use super::{
    daemon::{DaemonLimits, DaemonSpec, DispatchOptions, Network},
    store::{Store, StoreCopy, StoreMode},
    upstream::{RestartableUpstream, ENTRY_TTL},
    CatalogWriter, Daemon,
};
use crate::{caller::is_ready, history::History, SoakError};
use persimmon_core::ids::FailureDomain;
use persimmon_platform::stub_formats::{withdrawn_domain_row, UPSTREAMS_TABLE};
use std::{
    collections::BTreeSet,
    fs, io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{sleep, Instant};

/// Time within which all daemons must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which a daemon's readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the store is down while it is restored.
const RESTORE_TIME: Duration = Duration::from_millis(300);

/// Time after a restore until operators write again what the store lost.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Failure domains, assigned to daemons and upstreams in turn.
const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// The store, catalog, upstreams and daemons of a run.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) catalog: CatalogWriter,
    pub(crate) upstreams: Vec<Arc<RestartableUpstream>>,
    pub(crate) daemons: Vec<Arc<Daemon>>,
    /// Failure domains that operators have taken out of service.
    drained_domains: Mutex<BTreeSet<FailureDomain>>,
}

/// Numbers of daemons and upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentSize {
    pub(crate) daemons_len: usize,
    pub(crate) engines_len: usize,
    pub(crate) servers_len: usize,
    pub(crate) dispatch: DispatchOptions,
    pub(crate) limits: DaemonLimits,
}

impl Deployment {
    /// Starts a deployment with its settings and logs in `folder`, which is deleted first, and waits
    /// until all daemons are ready.
    pub(crate) async fn start(
        size: DeploymentSize,
        program: &Path,
        folder: &Path,
        history: &History,
    ) -> Result<Self, SoakError> {
        if folder.exists() {
            fs::remove_dir_all(folder)?;
        }
        fs::create_dir_all(folder)?;
        let store = Store::new(history.clock());
        let catalog =
            CatalogWriter::open(store.clone(), history.clone()).map_err(io::Error::other)?;
        let mut upstreams = Vec::new();
        for index in 0..size.engines_len + size.servers_len {
            let engine = index < size.engines_len;
            let domain = domain(index)?;
            upstreams
                .push(RestartableUpstream::start(index, engine, domain, history, &store).await?);
        }
        let address = store.serve().await?;
        let network = Network::next();
        let mut daemons = Vec::new();
        for index in 0..size.daemons_len {
            let domain = DOMAINS[index % DOMAINS.len()];
            let spec = DaemonSpec {
                network,
                index,
                domain,
                dispatch: size.dispatch,
                limits: size.limits,
            };
            let daemon = Daemon::start(spec, program, folder, address, &upstreams, history).await?;
            daemons.push(daemon);
        }
        let deployment = Self {
            store,
            catalog,
            upstreams,
            daemons,
            drained_domains: Mutex::default(),
        };
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn wait_ready(&self) -> Result<(), SoakError> {
        let until = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while !is_ready(daemon.readiness).await {
                if Instant::now() > until {
                    return Err(SoakError::NotReady {
                        waited_s: READY_TIMEOUT.as_secs(),
                    });
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until all daemons are connected with each other, as their logs say.
    pub(crate) async fn wait_connected(&self) -> Result<(), SoakError> {
        let until = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while daemon.peers_len()? < self.daemons.len() - 1 {
                if Instant::now() > until {
                    return Err(SoakError::NotReady {
                        waited_s: READY_TIMEOUT.as_secs(),
                    });
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Restores the store from a copy after a short outage. Operators then write again what they had
    /// written, and entries of upstreams that don't live any more expire.
    pub(crate) async fn restore_store(&self, copy: &StoreCopy) -> io::Result<()> {
        self.store.set_mode(StoreMode::Down);
        sleep(RESTORE_TIME).await;
        self.store.restore(copy);
        self.store.set_mode(StoreMode::Up);
        sleep(REWRITE_DELAY).await;
        self.catalog.write_again().map_err(io::Error::other)?;
        let drained = self.drained_domains().clone();
        for index in 0..DOMAINS.len() {
            let domain = domain(index)?;
            self.write_domain(&domain, drained.contains(&domain));
        }
        sleep(ENTRY_TTL.saturating_sub(REWRITE_DELAY)).await;
        self.store.expire_copied(copy, UPSTREAMS_TABLE);
        Ok(())
    }

    /// Takes a failure domain out of service, or returns it.
    pub(crate) fn set_domain_drained(&self, domain: &FailureDomain, drained: bool) {
        let mut domains = self.drained_domains();
        if drained {
            domains.insert(domain.clone());
        } else {
            domains.remove(domain);
        }
        self.write_domain(domain, drained);
    }

    fn drained_domains(&self) -> MutexGuard<'_, BTreeSet<FailureDomain>> {
        let domains = self.drained_domains.lock();
        domains.unwrap_or_else(PoisonError::into_inner)
    }

    fn write_domain(&self, domain: &FailureDomain, drained: bool) {
        let (table, key, value) = withdrawn_domain_row(domain);
        if drained {
            self.store.put((table, key, value));
        } else {
            self.store.remove(table, key);
        }
    }
}

/// Failure domain number `index`, modulo their number.
pub(crate) fn domain(index: usize) -> io::Result<FailureDomain> {
    let name = DOMAINS[index % DOMAINS.len()];
    name.parse().map_err(io::Error::other)
}
