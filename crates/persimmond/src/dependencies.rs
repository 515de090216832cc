//! What a daemon is put together from.

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

/// What the core is made from.
#[derive(Clone, Debug)]
pub struct CoreInit {
    /// This daemon.
    pub member: Member,
    /// Peers to ask first.
    pub seeds: Vec<VmRecord>,
    /// Seed of the core's generator.
    pub rng_seed: u64,
}

/// Makes the core.
pub type CoreFactory = Box<dyn FnOnce(CoreInit) -> Box<dyn ControlCore> + Send>;

/// Opens the link to peers, whose messages go to the sender.
pub type PeerLinkFactory =
    Box<dyn FnOnce(&VmId, Incarnation, Sender<Event>) -> io::Result<Arc<dyn PeerLink>> + Send>;

/// What a daemon is put together from.
pub struct Dependencies {
    /// Makes the core.
    pub core_factory: CoreFactory,
    /// Opens the link to peers.
    pub link_factory: PeerLinkFactory,
    /// Calls the platform.
    pub platform: Arc<dyn PlatformClient>,
    /// Calls upstreams.
    pub upstream: Arc<dyn UpstreamClient>,
    /// Counts.
    pub telemetry: Arc<Telemetry>,
}

impl Dependencies {
    /// The parts of a real daemon: the core, QUIC towards peers, HTTP towards the rest.
    ///
    /// # Errors
    ///
    /// The keys are malformed or name another VM.
    pub fn production(
        settings: &Settings,
        keys: &Keys,
        telemetry: Arc<Telemetry>,
    ) -> Result<Self, StartError> {
        let identity = Identity::new(&settings.vm, keys)?;
        let address = settings.listen.peers;
        let components = settings.components.clone();
        Ok(Self {
            core_factory: Box::new(move |init| Box::new(core(init, components))),
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

/// The counts of one daemon.
///
/// # Errors
///
/// The library refuses the metrics.
pub fn telemetry() -> Result<Arc<Telemetry>, StartError> {
    let telemetry = Telemetry::new().map_err(|error| StartError::Telemetry {
        reason: error.to_string(),
    })?;
    Ok(Arc::new(telemetry))
}

fn core(init: CoreInit, components: ComponentSettings) -> Daemon {
    Daemon::new(DaemonSettings {
        me: init.member,
        seeds: init.seeds,
        seed: init.rng_seed,
        components,
    })
}
