//! What a daemon is put together from.

use crate::ControlCore;
use flume::Sender;
use persimmon_core::{
    ids::{Incarnation, VmId},
    message::Member,
    platform::VmRecord,
    Event,
};
use persimmon_io::{
    http::Pages, link::PeerLink, platform::PlatformClient, upstream::UpstreamClient,
};
use std::{io, sync::Arc};

/// What the core is made from.
#[derive(Clone, Debug)]
pub struct CoreSeed {
    /// This daemon.
    pub me: Member,
    /// Peers to ask first.
    pub seeds: Vec<VmRecord>,
    /// Seed of the core's generator.
    pub rng_seed: u64,
}

/// Makes the core.
pub type MakeCore = Box<dyn FnOnce(CoreSeed) -> Box<dyn ControlCore> + Send>;

/// Opens the link to peers, whose messages go to the sender.
pub type OpenLink =
    Box<dyn FnOnce(&VmId, Incarnation, Sender<Event>) -> io::Result<Arc<dyn PeerLink>> + Send>;

/// What a daemon is put together from.
pub struct Parts {
    /// Makes the core.
    pub core: MakeCore,
    /// Opens the link to peers.
    pub link: OpenLink,
    /// Calls the platform.
    pub platform: Arc<dyn PlatformClient>,
    /// Calls upstreams.
    pub upstream: Arc<dyn UpstreamClient>,
    /// Renders pages.
    pub pages: Arc<dyn Pages>,
}
