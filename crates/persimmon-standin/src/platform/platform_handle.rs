//! Starts the platform: its listener and its control page.

use super::{
    serve::{serve, Shared},
    store::Store,
    PlatformSettings,
};
use crate::{
    faults::Fault,
    http::{read_body, respond_error, respond_json, Control, Listener, Slot},
    StandinError,
};
use persimmon_core::platform::VmRecord;
use serde_json::json;
use std::{net::SocketAddr, sync::Arc};
use tiny_http::{Method, Request};

/// Starts the platform.
#[derive(Clone, Copy, Debug)]
pub struct Platform;

/// A running platform; it stops when it is dropped.
pub struct PlatformHandle {
    address: SocketAddr,
    control: Listener,
    shared: Arc<Shared>,
    traffic: Arc<Slot>,
}

impl Platform {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub fn start(settings: PlatformSettings) -> Result<PlatformHandle, StandinError> {
        let shared = Arc::new(Shared::new(Store::new(&settings)));
        let listener = listen(settings.address, &shared)?;
        let address = listener.address();
        let traffic = Arc::new(Slot::new(listener));
        let control = control(settings.control_address, address, &shared, &traffic)?;
        Ok(PlatformHandle {
            address,
            control,
            shared,
            traffic,
        })
    }
}

impl PlatformHandle {
    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where its control page listens.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sets the list of VMs, which shows after the list's lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.shared.store().set_vms(self.shared.now(), vms);
    }

    /// Stops it: its ports close.
    pub fn stop(&mut self) {
        self.shared.set_dead(true);
        self.traffic.close();
        self.control.stop();
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

fn listen(address: SocketAddr, shared: &Arc<Shared>) -> Result<Listener, StandinError> {
    let shared = shared.clone();
    Listener::start(address, move |request| serve(&shared, request))
}

fn control(
    control_address: SocketAddr,
    address: SocketAddr,
    shared: &Arc<Shared>,
    traffic: &Arc<Slot>,
) -> Result<Listener, StandinError> {
    let (counted, switched, listed) = (shared.clone(), shared.clone(), shared.clone());
    let traffic = traffic.clone();
    let page = Control {
        counters: move || counted.store().counters(),
        switch: move |fault: &Fault| switch(fault, address, &switched, &traffic),
    };
    Listener::start(control_address, move |request| {
        if let Some(request) = page.serve(request) {
            set_vms(&listed, request);
        }
    })
}

fn set_vms(shared: &Shared, mut request: Request) {
    if (request.method(), request.url()) != (&Method::Post, "/vms") {
        return respond_error(request, 404, "no_such_call", "not_run");
    }
    let body = read_body(&mut request);
    match serde_json::from_slice(&body) {
        Err(error) => respond_error(request, 400, &error.to_string(), "not_run"),
        Ok(vms) => {
            shared.store().set_vms(shared.now(), vms);
            respond_json(request, &json!({}));
        }
    }
}

fn switch(
    fault: &Fault,
    address: SocketAddr,
    shared: &Arc<Shared>,
    traffic: &Slot,
) -> Result<(), StandinError> {
    match fault {
        Fault::Die => {
            shared.set_dead(true);
            traffic.close();
        }
        Fault::Revive => {
            traffic.close();
            shared.set_dead(false);
            traffic.open(listen(address, shared)?);
        }
        fault => shared.faults.switch(fault),
    }
    Ok(())
}
