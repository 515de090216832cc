//! Dependencies of a daemon that tests and demos replace.

use crate::{ControlCore, StartError};
use flume::Sender;
use persimmon_core::{
    daemon::{ComponentSettings, Daemon, DaemonSettings},
    ids::{Incarnation, VmId},
    message::Member,
    platform::VmRecord,
    Event,
};
use persimmon_io::{
    link::PeerLink,
    peer::{Identity, Keys, QuicLink},
    platform::{HttpPlatform, PlatformClient},
    settings::Settings,
    telemetry::Telemetry,
    upstream::{HttpUpstream, UpstreamClient},
};
use std::{io, sync::Arc};

/// Inputs for the construction of the core.
#[derive(Clone, Debug)]
pub struct CoreInit {
    /// This daemon's entry in the membership list.
    pub member: Member,
    /// Peers that the daemon contacts first to join.
    pub seeds: Vec<VmRecord>,
    /// Seed of the core's random number generator.
    pub rng_seed: u64,
}

/// Creates the core.
pub type CoreFactory = Box<dyn FnOnce(CoreInit) -> Box<dyn ControlCore> + Send>;

/// Opens the link to peers. Received messages go to the sender.
pub type PeerLinkFactory =
    Box<dyn FnOnce(&VmId, Incarnation, Sender<Event>) -> io::Result<Arc<dyn PeerLink>> + Send>;

/// Dependencies of a daemon.
pub struct Dependencies {
    /// Creates the core.
    pub core_factory: CoreFactory,
    /// Opens the link to peers.
    pub link_factory: PeerLinkFactory,
    /// Client of the platform.
    pub platform: Arc<dyn PlatformClient>,
    /// Client of upstreams.
    pub upstream: Arc<dyn UpstreamClient>,
    /// Metrics.
    pub telemetry: Arc<Telemetry>,
}

impl Dependencies {
    /// Production dependencies: the real core, QUIC between peers, HTTP to platform and upstreams.
    ///
    /// # Errors
    ///
    /// The keys are malformed or were issued to another VM.
    pub fn production(
        settings: &Settings,
        keys: &Keys,
        telemetry: Arc<Telemetry>,
    ) -> Result<Self, StartError> {
        let identity = Identity::new(&settings.vm, keys)?;
        let address = settings.listen.peers;
        let components = settings.components.clone();
        Ok(Self {
            core_factory: Box::new(move |init| Box::new(new_core(init, components))),
            link_factory: Box::new(move |_, incarnation, events| {
                let sink = Arc::new(move |event| drop(events.send(event)));
                let link = QuicLink::start(address, identity, incarnation, sink);
                Ok(Arc::new(link.map_err(io::Error::other)?))
            }),
            platform: Arc::new(HttpPlatform::new(settings.platform)),
            upstream: Arc::new(HttpUpstream),
            telemetry,
        })
    }
}

/// Creates the metrics of one daemon.
///
/// # Errors
///
/// The metrics library rejects the metrics.
pub fn telemetry() -> Result<Arc<Telemetry>, StartError> {
    let telemetry = Telemetry::new().map_err(|error| StartError::Telemetry {
        reason: error.to_string(),
    })?;
    Ok(Arc::new(telemetry))
}

fn new_core(init: CoreInit, components: ComponentSettings) -> Daemon {
    Daemon::new(DaemonSettings {
        me: init.member,
        seeds: init.seeds,
        seed: init.rng_seed,
        components,
    })
}
