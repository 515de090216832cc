//! Common parts of engines, services and the platform: two addresses, faults and counters.

use crate::{
    faults::{Fault, Faults},
    http::{respond_error, ControlPage, Listener, ListenerSlot},
    StandinError,
};
use serde::Serialize;
use std::{net::SocketAddr, sync::Arc};
use tiny_http::Request;

/// Behaviour of one kind of stand-in.
pub(crate) trait Standin: Send + Sync + 'static {
    /// Counters of the control page.
    type Counters: Serialize;

    /// Serves a request on the traffic address.
    fn serve(self: &Arc<Self>, request: Request);

    /// Returns the current counters.
    fn counters(&self) -> Self::Counters;

    /// Faults that are active.
    fn faults(&self) -> &Faults;

    /// Simulates the death of the process.
    fn kill(&self);

    /// Simulates the start of a new process after [`Standin::kill`].
    fn restart(&self);

    /// Injects a fault other than death and restart; kinds with faults of their own override this.
    fn inject_specific(&self, fault: &Fault) {
        self.faults().apply(fault);
    }

    /// Serves a request on the control address that is not common to all kinds.
    fn serve_control(&self, request: Request) {
        respond_error(request, 404, "no_such_call", "not_run");
    }
}

/// A stand-in with its traffic listener and its control page.
pub(crate) struct Host<S> {
    control: Listener,
    inner: Arc<Inner<S>>,
}

struct Inner<S> {
    standin: Arc<S>,
    address: SocketAddr,
    traffic: ListenerSlot,
}

impl<S: Standin> Host<S> {
    /// Starts the listeners of both addresses.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub(crate) fn start(
        address: SocketAddr,
        control_address: SocketAddr,
        standin: Arc<S>,
    ) -> Result<Self, StandinError> {
        let listener = listen(address, &standin)?;
        let inner = Arc::new(Inner {
            standin,
            address: listener.address(),
            traffic: ListenerSlot::new(listener),
        });
        let control = listen_control(control_address, &inner)?;
        Ok(Self { control, inner })
    }

    pub(crate) fn standin(&self) -> &S {
        &self.inner.standin
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.inner.address
    }

    pub(crate) fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Injects a fault.
    ///
    /// # Errors
    ///
    /// The traffic address can't be bound again on [`Fault::Revive`].
    pub(crate) fn inject(&self, fault: &Fault) -> Result<(), StandinError> {
        self.inner.inject(fault)
    }

    /// Stops the stand-in and closes its ports.
    pub(crate) fn stop(&mut self) {
        self.inner.standin.kill();
        self.inner.traffic.close();
        self.control.stop();
    }
}

impl<S: Standin> Inner<S> {
    fn inject(&self, fault: &Fault) -> Result<(), StandinError> {
        match fault {
            Fault::Die => {
                self.standin.kill();
                self.traffic.close();
            }
            Fault::Revive => {
                self.traffic.close();
                self.standin.restart();
                self.traffic.open(listen(self.address, &self.standin)?);
            }
            fault => self.standin.inject_specific(fault),
        }
        Ok(())
    }
}

fn listen<S: Standin>(address: SocketAddr, standin: &Arc<S>) -> Result<Listener, StandinError> {
    let standin = Arc::clone(standin);
    Listener::start(address, move |request| standin.serve(request))
}

fn listen_control<S: Standin>(
    address: SocketAddr,
    inner: &Arc<Inner<S>>,
) -> Result<Listener, StandinError> {
    let (counting, injecting) = (Arc::clone(inner), Arc::clone(inner));
    let page = ControlPage {
        counters: move || counting.standin.counters(),
        inject: move |fault: &Fault| injecting.inject(fault),
    };
    let fallback = Arc::clone(inner);
    Listener::start(address, move |request| {
        if let Some(request) = page.serve(request) {
            fallback.standin.serve_control(request);
        }
    })
}
