//! A complete deployment in threads of this process.

use super::{DemoError, Deployment, UpstreamSlotKind};
use crate::{
    Engine, EngineHandle, Platform, PlatformHandle, PlatformSettings, Service, ServiceHandle,
};
use persimmon_core::{
    daemon::ComponentSettings,
    ids::{UpstreamId, VmId},
    operator::{Intent, OperatorCommand, OperatorReply, PlanState},
    platform::VmRecord,
};
use persimmon_io::{link::PeerLink, peer::KeyPairPem};
use persimmonctl::{
    client::{HttpClient, OperatorClient},
    CtlError,
};
use persimmond::DaemonHandle;
use std::{collections::BTreeMap, net::SocketAddr, sync::Weak};

/// Operator token of every demo deployment.
pub const DEMO_TOKEN: &str = "persimmon-demo-token";

/// A complete deployment in threads of this process.
pub struct Fleet {
    /// The daemons.
    pub daemons: BTreeMap<VmId, DaemonHandle>,
    /// The engines.
    pub engines: BTreeMap<UpstreamId, EngineHandle>,
    /// The servers of plain services.
    pub servers: BTreeMap<UpstreamId, ServiceHandle>,
    /// The platform.
    pub platform: PlatformHandle,
    pub(super) records: BTreeMap<VmId, VmRecord>,
    pub(super) links: BTreeMap<VmId, Weak<dyn PeerLink>>,
    pub(super) ca: KeyPairPem,
    pub(super) components: ComponentSettings,
}

impl Fleet {
    /// Starts all parts, applies the initial configuration and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// A part does not start, or a daemon does not become ready; the error names which.
    pub fn start(
        deployment: &Deployment,
        components: &ComponentSettings,
    ) -> Result<Self, DemoError> {
        let platform = Platform::start(PlatformSettings::try_from(deployment.platform.clone())?)?;
        let mut fleet = Self {
            daemons: BTreeMap::new(),
            engines: BTreeMap::new(),
            servers: BTreeMap::new(),
            platform,
            records: BTreeMap::new(),
            links: BTreeMap::new(),
            ca: KeyPairPem::new_ca()?,
            components: components.clone(),
        };
        fleet.start_upstreams(deployment)?;
        for slot in deployment.vms()? {
            fleet.start_daemon(&slot)?;
        }
        fleet.configure(deployment)?;
        fleet.wait_until_all_ready()?;
        Ok(fleet)
    }

    /// Returns a client of one daemon's operator interface; `None` if the fleet has no such VM.
    pub fn operator_client(&self, vm: &VmId) -> Option<HttpClient> {
        let address = self.daemons.get(vm)?.addresses().operators;
        let operator = "demo".parse().ok()?;
        Some(HttpClient::new(address, DEMO_TOKEN.to_owned(), operator))
    }

    /// Plans an intent at one daemon and confirms the plan.
    ///
    /// # Errors
    ///
    /// The daemon can't be reached or refuses.
    pub fn apply_intent(&self, vm: &VmId, intent: Intent) -> Result<OperatorReply, CtlError> {
        let unknown = || CtlError::Unreachable {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            reason: format!("no VM {vm}"),
        };
        let client = self.operator_client(vm).ok_or_else(unknown)?;
        let reply = client.send(&OperatorCommand::Plan {
            intent,
            force: true,
        })?;
        let plan = match reply {
            OperatorReply::Plan(plan) if plan.state == PlanState::Open => plan.id,
            OperatorReply::Refused(error) => return Err(error.into()),
            other => return Ok(other),
        };
        match client.send(&OperatorCommand::Confirm(plan))? {
            OperatorReply::Refused(error) => Err(error.into()),
            reply => Ok(reply),
        }
    }

    /// Stops every daemon gracefully, then the stand-ins. Returns whether every daemon ended without an
    /// error.
    pub fn stop(mut self) -> bool {
        for daemon in self.daemons.values() {
            daemon.stop();
        }
        let daemons = std::mem::take(&mut self.daemons);
        let ended: Vec<bool> = daemons.into_values().map(DaemonHandle::join).collect();
        self.engines.values_mut().for_each(EngineHandle::stop);
        self.servers.values_mut().for_each(ServiceHandle::stop);
        self.platform.stop();
        ended.into_iter().all(|ok| ok)
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
            self.apply_intent(vm, Intent::Replace(Box::new(config)))?;
        }
        Ok(())
    }

    fn wait_until_all_ready(&self) -> Result<(), DemoError> {
        self.daemons
            .keys()
            .try_for_each(|vm| self.wait_until_ready(vm))
    }
}
