//! The deployment under test.

use super::{
    daemon::{DaemonSpec, Network},
    store::Store,
    upstream::RestartableUpstream,
    CatalogWriter, Daemon,
};
use crate::{caller::is_ready, history::History, SoakError};
use persimmon_core::ids::FailureDomain;
use persimmon_platform::stub_formats::withdrawn_domain_row;
use std::{fs, io, path::Path, sync::Arc, time::Duration};
use tokio::time::{sleep, Instant};

/// Time within which all daemons must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which a daemon's readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Failure domains, assigned to daemons and upstreams in turn.
const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// The store, catalog, upstreams and daemons of a run.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) catalog: CatalogWriter,
    pub(crate) upstreams: Vec<Arc<RestartableUpstream>>,
    pub(crate) daemons: Vec<Arc<Daemon>>,
}

/// Numbers of daemons and upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentSize {
    pub(crate) daemons_len: usize,
    pub(crate) engines_len: usize,
    pub(crate) servers_len: usize,
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
            };
            let daemon = Daemon::start(spec, program, folder, address, history).await?;
            daemons.push(daemon);
        }
        let deployment = Self {
            store,
            catalog,
            upstreams,
            daemons,
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

    /// Takes a failure domain out of service, or returns it.
    pub(crate) fn set_domain_drained(&self, domain: &FailureDomain, drained: bool) {
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
