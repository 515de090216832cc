//! A whole deployment as threads of this process.

use super::{daemons, DemoError, Deployment, UpstreamSlotKind};
use crate::{
    Engine, EngineHandle, Platform, PlatformHandle, PlatformSettings, Service, ServiceHandle,
};
use persimmon_core::{
    daemon::PartSettings,
    ids::{UpstreamId, VmId},
    operator::{Intent, OperatorCommand, OperatorReply, PlanState},
    platform::{VmRecord, VmState},
};
use persimmon_io::peer::KeyPairPem;
use persimmonctl::{
    client::{HttpClient, OperatorClient},
    CtlError,
};
use persimmond::DaemonHandle;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// The operators' token of every demo.
pub const DEMO_TOKEN: &str = "persimmon-demo-token";

/// Longest wait for the daemons to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at a daemon that is not ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// A whole deployment as threads of this process.
pub struct Fleet {
    /// The daemons.
    pub daemons: BTreeMap<VmId, DaemonHandle>,
    /// The engines.
    pub engines: BTreeMap<UpstreamId, EngineHandle>,
    /// The servers of plain services.
    pub servers: BTreeMap<UpstreamId, ServiceHandle>,
    /// The platform.
    pub platform: PlatformHandle,
}

impl Fleet {
    /// Starts everything, puts the first configuration in force and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Names what did not start or did not get ready.
    pub fn start(deployment: &Deployment, parts: &PartSettings) -> Result<Self, DemoError> {
        let platform = Platform::start(PlatformSettings::try_from(deployment.platform.clone())?)?;
        let mut fleet = Self {
            daemons: BTreeMap::new(),
            engines: BTreeMap::new(),
            servers: BTreeMap::new(),
            platform,
        };
        fleet.start_upstreams(deployment)?;
        fleet.start_daemons(deployment, parts)?;
        fleet.configure(deployment)?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// A client of one daemon's operator interface.
    ///
    /// # Errors
    ///
    /// The fleet has no such VM.
    pub fn operator(&self, vm: &VmId) -> Option<HttpClient> {
        let address = self.daemons.get(vm)?.addresses().operators;
        let operator = "demo".parse().ok()?;
        Some(HttpClient::new(address, DEMO_TOKEN.to_owned(), operator))
    }

    /// Plans an intent at one daemon and confirms the plan.
    ///
    /// # Errors
    ///
    /// The daemon can't be reached or refuses.
    pub fn change(&self, vm: &VmId, intent: Intent) -> Result<OperatorReply, CtlError> {
        let unknown = || CtlError::Unreachable {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            reason: format!("no VM {vm}"),
        };
        let client = self.operator(vm).ok_or_else(unknown)?;
        let reply = client.ask(&OperatorCommand::Plan {
            intent,
            force: true,
        })?;
        let plan = match reply {
            OperatorReply::Plan(plan) if plan.state == PlanState::Open => plan.id,
            OperatorReply::Refused(error) => return Err(error.into()),
            other => return Ok(other),
        };
        match client.ask(&OperatorCommand::Confirm(plan))? {
            OperatorReply::Refused(error) => Err(error.into()),
            reply => Ok(reply),
        }
    }

    /// Asks every daemon to stop, waits for them, then stops the stand-ins. True where every
    /// daemon ended well.
    pub fn stop(mut self) -> bool {
        for daemon in self.daemons.values() {
            daemon.stop();
        }
        let daemons = std::mem::take(&mut self.daemons);
        let ended: Vec<bool> = daemons.into_values().map(DaemonHandle::join).collect();
        self.engines.values_mut().for_each(EngineHandle::stop);
        self.servers.values_mut().for_each(ServiceHandle::stop);
        self.platform.stop();
        ended.into_iter().all(|well| well)
    }

    fn start_upstreams(&mut self, deployment: &Deployment) -> Result<(), DemoError> {
        let weights_address = self.platform.address();
        for slot in deployment.upstreams()? {
            match &slot.kind {
                UpstreamSlotKind::Engine(model) => {
                    let settings = deployment.engine_settings(model, weights_address)?;
                    self.engines.insert(slot.upstream, Engine::start(settings)?);
                }
                UpstreamSlotKind::Server(service) => {
                    let settings = deployment.service_settings(service)?;
                    self.servers
                        .insert(slot.upstream, Service::start(settings)?);
                }
            }
        }
        Ok(())
    }

    fn start_daemons(
        &mut self,
        deployment: &Deployment,
        parts: &PartSettings,
    ) -> Result<(), DemoError> {
        let ca = KeyPairPem::new_ca()?;
        let mut seeds: Vec<VmRecord> = Vec::new();
        for slot in deployment.vms()? {
            let settings = daemons::settings(&slot, seeds.clone(), self.platform.address())?;
            let handle = daemons::start(settings, &ca, parts)?;
            seeds.push(VmRecord {
                vm: slot.vm.clone(),
                domain: slot.domain,
                peer_address: handle.addresses().peers,
                state: VmState::Live,
            });
            self.daemons.insert(slot.vm, handle);
        }
        self.platform.set_vms(seeds);
        Ok(())
    }

    fn configure(&self, deployment: &Deployment) -> Result<(), DemoError> {
        let engines = self
            .engines
            .iter()
            .map(|(id, engine)| (id.clone(), engine.address()));
        let servers = self
            .servers
            .iter()
            .map(|(id, server)| (id.clone(), server.address()));
        let config = deployment.configuration(&engines.chain(servers).collect())?;
        if let Some(vm) = self.daemons.keys().next() {
            self.change(vm, Intent::Replace(Box::new(config)))?;
        }
        Ok(())
    }

    fn wait_ready(&self) -> Result<(), DemoError> {
        let until = Instant::now() + READY_TIMEOUT;
        for (vm, daemon) in &self.daemons {
            let address = daemon.addresses().callers;
            while let Err(notes) = daemons::ready(address) {
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
        }
        Ok(())
    }
}
