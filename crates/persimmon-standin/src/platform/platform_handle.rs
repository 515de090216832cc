//! Starts the platform: its listener and its control page.

use super::{serve::Shared, store::Store, PlatformCounters, PlatformSettings};
use crate::{
    faults::Fault,
    host::{Host, Standin},
    StandinError,
};
use persimmon_core::platform::VmRecord;
use std::{net::SocketAddr, sync::Arc};

/// Starts the platform.
#[derive(Clone, Copy, Debug)]
pub struct Platform;

/// A running platform; it stops when it is dropped.
pub struct PlatformHandle {
    host: Host<Shared>,
}

impl Platform {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub fn start(settings: PlatformSettings) -> Result<PlatformHandle, StandinError> {
        let shared = Arc::new(Shared::new(Store::new(&settings)));
        let host = Host::start(settings.address, settings.control_address, shared)?;
        Ok(PlatformHandle { host })
    }
}

impl PlatformHandle {
    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Where its control page listens.
    pub fn control_address(&self) -> SocketAddr {
        self.host.control_address()
    }

    /// The counts so far.
    pub fn counters(&self) -> PlatformCounters {
        self.host.standin().counters()
    }

    /// Switches a fault, as its control page does.
    ///
    /// # Errors
    ///
    /// A revived platform can't listen on its address.
    pub fn inject(&self, fault: &Fault) -> Result<(), StandinError> {
        self.host.inject(fault)
    }

    /// Sets the list of VMs, which shows after the list's lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        let shared = self.host.standin();
        shared.store().set_vms(shared.now(), vms);
    }

    /// Stops it: its ports close.
    pub fn stop(&mut self) {
        self.host.stop();
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.stop();
    }
}
