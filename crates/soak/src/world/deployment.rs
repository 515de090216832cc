//! All of the deployment.

use super::{
    daemon::{Network, Place},
    store::Store,
    upstream::Upstream,
    CatalogDesk, Daemon,
};
use crate::{caller::is_ready, history::History, SoakError};
use persimmon_core::ids::FailureDomain;
use persimmon_platform::stub_formats::withdrawn_domain_row;
use std::{fs, io, path::Path, sync::Arc, time::Duration};
use tokio::time::{sleep, Instant};

/// Time for all daemons to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two looks whether a daemon is.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Failure domains.
const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// All of the deployment.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) desk: CatalogDesk,
    pub(crate) upstreams: Vec<Arc<Upstream>>,
    pub(crate) daemons: Vec<Arc<Daemon>>,
}

/// How large it is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) daemons_len: usize,
    pub(crate) engines_len: usize,
    pub(crate) desks_len: usize,
}

impl Deployment {
    /// Starts it with its settings and logs in `folder`, which is emptied first, and waits until all
    /// daemons take callers.
    pub(crate) async fn start(
        size: Size,
        program: &Path,
        folder: &Path,
        history: &History,
    ) -> Result<Self, SoakError> {
        if folder.exists() {
            fs::remove_dir_all(folder)?;
        }
        fs::create_dir_all(folder)?;
        let store = Store::new(history.clock());
        let desk = CatalogDesk::open(store.clone(), history.clone()).map_err(io::Error::other)?;
        let mut upstreams = Vec::new();
        for index in 0..size.engines_len + size.desks_len {
            let engine = index < size.engines_len;
            let domain = domain(index)?;
            upstreams.push(Upstream::start(index, engine, domain, history, &store).await?);
        }
        let address = store.serve().await?;
        let network = Network::next();
        let mut daemons = Vec::new();
        for index in 0..size.daemons_len {
            let domain = DOMAINS[index % DOMAINS.len()];
            let at = Place {
                network,
                index,
                domain,
            };
            let daemon = Daemon::start(at, program, folder, address, history).await?;
            daemons.push(daemon);
        }
        let world = Self {
            store,
            desk,
            upstreams,
            daemons,
        };
        world.wait_ready().await?;
        Ok(world)
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
                sleep(LOOK_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Takes a failure domain out of service, or back.
    pub(crate) fn take_out(&self, domain: &FailureDomain, out: bool) {
        let (table, key, value) = withdrawn_domain_row(domain);
        if out {
            self.store.put((table, key, value));
        } else {
            self.store.remove(table, key);
        }
    }
}

/// The failure domain of an upstream or of a number drawn.
pub(crate) fn domain(index: usize) -> io::Result<FailureDomain> {
    let name = DOMAINS[index % DOMAINS.len()];
    name.parse().map_err(io::Error::other)
}
