//! Starts, stops, kills and restarts the daemons of a running fleet.

use super::{daemons, DemoError, Fleet, VmSlot};
use persimmon_core::{
    ids::{FailureDomain, VmId},
    platform::{VmRecord, VmState},
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Weak,
    thread,
    time::{Duration, Instant},
};

/// Time within which a daemon must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a daemon's readiness is polled.
const READY_POLL: Duration = Duration::from_millis(20);

impl Fleet {
    /// Addresses at which callers reach the daemons.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.daemons.values().map(|daemon| daemon.addresses());
        addresses.map(|addresses| addresses.callers).collect()
    }

    /// The failure domains that have daemons.
    pub fn domains(&self) -> BTreeSet<FailureDomain> {
        self.records.values().map(|r| r.domain.clone()).collect()
    }

    /// VMs whose daemon ended and was not replaced.
    pub fn missing_vms(&self) -> Vec<VmId> {
        let gone = |vm: &&VmId| !self.daemons.contains_key(*vm);
        self.records.keys().filter(gone).cloned().collect()
    }

    /// Number of bytes that all running daemons have sent to their peers.
    pub fn peer_sent_bytes(&self) -> u64 {
        let links = self.links.values().filter_map(Weak::upgrade);
        let sent = links.filter_map(|link| link.traffic_bytes());
        sent.map(|(sent_bytes, _)| sent_bytes).sum()
    }

    /// Stops a daemon gracefully, then starts another one in its place and waits until the new one is
    /// ready. Returns whether the old daemon ended without an error.
    ///
    /// # Errors
    ///
    /// The fleet has no such VM, or the new daemon does not start or become ready.
    pub fn restart_daemon(&mut self, vm: &VmId) -> Result<bool, DemoError> {
        if let Some(record) = self.records.get_mut(vm) {
            record.state = VmState::Leaving;
        }
        self.publish_vms();
        let ended = self.daemons.remove(vm).is_none_or(|daemon| {
            daemon.stop();
            daemon.join()
        });
        self.replace_daemon(vm)?;
        Ok(ended)
    }

    /// Kills a daemon without a graceful shutdown. Its VM has no daemon until
    /// [`Fleet::replace_daemon`].
    pub fn kill_daemon(&mut self, vm: &VmId) {
        if let Some(daemon) = self.daemons.remove(vm) {
            daemon.kill();
            daemon.join();
        }
    }

    /// Starts a daemon in the place of one that ended, and waits until the new one is ready.
    ///
    /// # Errors
    ///
    /// The fleet has no such VM, or the daemon does not start or become ready.
    pub fn replace_daemon(&mut self, vm: &VmId) -> Result<(), DemoError> {
        let unknown = || DemoError::UnknownVm { vm: vm.to_string() };
        let record = self.records.remove(vm).ok_or_else(unknown)?;
        let slot = VmSlot {
            vm: record.vm,
            domain: record.domain,
        };
        self.start_daemon(&slot)?;
        self.wait_until_ready(vm)
    }

    pub(super) fn start_daemon(&mut self, slot: &VmSlot) -> Result<(), DemoError> {
        let seeds = self.records.values().cloned().collect();
        let settings = daemons::settings(slot, seeds, self.platform.address(), &self.components)?;
        let started = daemons::start(settings, &self.ca)?;
        let record = VmRecord {
            vm: slot.vm.clone(),
            domain: slot.domain.clone(),
            peer_address: started.handle.addresses().peers,
            state: VmState::Live,
        };
        self.records.insert(slot.vm.clone(), record);
        if let Some(link) = started.link {
            self.links.insert(slot.vm.clone(), link);
        }
        self.daemons.insert(slot.vm.clone(), started.handle);
        self.publish_vms();
        Ok(())
    }

    pub(super) fn wait_until_ready(&self, vm: &VmId) -> Result<(), DemoError> {
        let unknown = || DemoError::UnknownVm { vm: vm.to_string() };
        let daemon = self.daemons.get(vm).ok_or_else(unknown)?;
        let until = Instant::now() + READY_TIMEOUT;
        while let Err(notes) = daemons::check_ready(daemon.addresses().callers) {
            if Instant::now() > until {
                let waited_s = READY_TIMEOUT.as_secs();
                return Err(DemoError::NotReady {
                    vm: vm.to_string(),
                    waited_s,
                    notes,
                });
            }
            thread::sleep(READY_POLL);
        }
        Ok(())
    }

    fn publish_vms(&self) {
        self.platform
            .set_vms(self.records.values().cloned().collect());
    }
}
