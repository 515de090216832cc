//! Injects faults into VMs, upstreams and the network.

use crate::{
    caller::RequestEnd,
    fleet::{process_id, Fleet, FleetEvent},
    upstream::UpstreamFault,
    vm::Arrival,
};
use persimmon_core::{
    ids::{FailureDomain, UpstreamId, VmId},
    request::UpstreamError,
    units::Millis,
};

/// Time in which owners must detect that an upstream turned cold without a restart.
const COLD_DETECTION_MS: Millis = Millis::new(1_500);

impl Fleet {
    /// Kills a VM's process, which breaks the connections of its callers.
    pub fn kill_vm(&mut self, vm: &VmId) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.node = None;
            vm.active_reads.clear();
            vm.inbox.clear();
            vm.is_ready = false;
            vm.died_at = Some(self.now);
        }
        let now = self.now;
        let lost = self.callers.values_mut();
        for caller in lost.filter(|caller| caller.vm == *vm && caller.is_open()) {
            caller.finish(now, RequestEnd::ConnectionLost);
        }
    }

    /// Pauses a VM's process.
    pub fn pause_vm(&mut self, vm: &VmId) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.is_paused = true;
        }
    }

    /// Resumes a paused process and delivers the inputs that arrived during the pause.
    pub fn resume_vm(&mut self, vm: &VmId) {
        let Some(state) = self.vms.get_mut(vm) else {
            return;
        };
        if state.is_paused {
            state.is_paused = false;
            state.resumed_at = Some(self.now);
        }
        let process = process_id(state);
        for arrival in std::mem::take(&mut state.inbox) {
            self.queue
                .push(self.now, FleetEvent::Arrival(process.clone(), arrival));
        }
        self.queue
            .push(self.now, FleetEvent::Arrival(process, Arrival::Timer));
    }

    /// Kills an upstream's process, which breaks the connections to it.
    pub fn kill_upstream(&mut self, upstream: &UpstreamId) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        for attempt in state.kill() {
            self.break_connection(attempt, UpstreamError::Broken);
        }
    }

    /// Partitions a failure domain, or reconnects it. Streams across the partition break.
    pub fn set_domain_partitioned(&mut self, domain: &FailureDomain, is_partitioned: bool) {
        self.network.set_partitioned(domain, is_partitioned);
        let active_reads = self.vms.iter().flat_map(|(vm, state)| {
            let active_reads = state.active_reads.iter();
            active_reads.map(move |(attempt, read)| (vm, *attempt, &read.upstream))
        });
        let broken = active_reads.filter(|(vm, _, upstream)| !self.can_reach(vm, upstream));
        let broken: Vec<_> = broken.map(|(_, attempt, _)| attempt).collect();
        for attempt in broken {
            self.break_connection(attempt, UpstreamError::Broken);
        }
    }

    /// Restarts an upstream, cold. Connections to the old process break.
    pub fn restart_upstream(&mut self, upstream: &UpstreamId) {
        self.kill_upstream(upstream);
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.restart();
        }
    }

    /// Turns an upstream cold without a restart.
    pub fn turn_upstream_cold(&mut self, upstream: &UpstreamId) {
        let overloads_from = self.now + COLD_DETECTION_MS;
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.turn_cold(overloads_from);
        }
    }

    /// Makes an upstream hang.
    pub fn hang_upstream(&mut self, upstream: &UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.fault = UpstreamFault::Hangs;
        }
    }
}
