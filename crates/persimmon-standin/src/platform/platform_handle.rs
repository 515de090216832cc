//! Starts the platform's listener and control page.

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

/// A running platform, which stops on drop.
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
    /// Address of the platform's services.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Address of the control page.
    pub fn control_address(&self) -> SocketAddr {
        self.host.control_address()
    }

    /// Returns the current counters.
    pub fn counters(&self) -> PlatformCounters {
        self.host.standin().counters()
    }

    /// Injects a fault, as the control page does.
    ///
    /// # Errors
    ///
    /// The address can't be bound again on [`Fault::Revive`].
    pub fn inject(&self, fault: &Fault) -> Result<(), StandinError> {
        self.host.inject(fault)
    }

    /// Sets the list of VMs, which becomes visible after the list's lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        let shared = self.host.standin();
        shared.store().set_vms(shared.now(), vms);
    }

    /// Stops the platform and closes its ports.
    pub fn stop(&mut self) {
        self.host.stop();
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.stop();
    }
}
