//! Starts and stops a daemon.

use crate::{
    control::Control, meter::Meter, pool::Pool, Clock, CoreInit, Dependencies, StartError,
};
use flume::Sender;
use persimmon_core::{ids::Incarnation, message::Member, Event};
use persimmon_io::{
    http::{CallerServer, MetricsPage},
    operator::{OperatorCalls, OperatorServer},
    settings::{ListenAddresses, Settings},
    traffic::TrafficHub,
};
use std::{
    hash::{BuildHasher, RandomState},
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{SystemTime, UNIX_EPOCH},
};

/// Number of threads that call the platform.
const PLATFORM_THREADS: usize = 4;

/// Number of threads that send long-running orders to upstreams, such as loading a model.
const LONG_ORDER_THREADS: usize = 8;

/// Number of threads that send short orders to upstreams and poll their load and cache.
const UPSTREAM_THREADS: usize = 8;

/// Name of the control thread as shown by tools of the operating system.
const CONTROL_THREAD: &str = "control";

/// A daemon that runs as threads of this process.
#[derive(Clone, Copy, Debug)]
pub struct Daemon;

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// Handle of a running daemon.
#[derive(Debug)]
pub struct DaemonHandle {
    addresses: Addresses,
    events: Sender<Event>,
    killed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon with the given dependencies.
    ///
    /// # Errors
    ///
    /// An address or the peer link can't be opened, or the control thread can't be started.
    pub fn start(
        settings: Settings,
        dependencies: Dependencies,
    ) -> Result<DaemonHandle, StartError> {
        let (events, inbox) = flume::unbounded();
        let incarnation = Incarnation::new(unix_ms());
        let link = (dependencies.link_factory)(&settings.vm, incarnation, events.clone())
            .map_err(|reason| StartError::Link { reason })?;
        let member = Member {
            vm: settings.vm.clone(),
            incarnation,
            domain: settings.domain.clone(),
            peer_address: link.local_address(),
        };
        let hub = Arc::new(TrafficHub::new(
            events.clone(),
            Arc::clone(&dependencies.upstream),
        ));
        let operator_calls = Arc::new(OperatorCalls::new(events.clone()));
        let servers = HttpServers::start(
            &settings,
            &hub,
            &operator_calls,
            dependencies.telemetry.clone(),
        )?;
        let addresses = Addresses {
            callers: servers.callers.address(),
            operators: servers.operators.address(),
            peers: member.peer_address,
        };
        let killed = Arc::new(AtomicBool::new(false));
        let control = Control {
            vm: member.vm.clone(),
            meter: Meter::new(dependencies.telemetry),
            core: (dependencies.core_factory)(CoreInit {
                member,
                seeds: settings.seeds,
                rng_seed: RandomState::new().hash_one(incarnation),
            }),
            clock: Clock::start(),
            inbox,
            events: events.clone(),
            hub,
            operator_calls,
            link,
            platform: dependencies.platform,
            upstream: dependencies.upstream,
            platform_pool: Pool::start(PLATFORM_THREADS),
            upstream_pool: Pool::start(UPSTREAM_THREADS),
            long_order_pool: Pool::start(LONG_ORDER_THREADS),
            killed: Arc::clone(&killed),
        };
        let builder = thread::Builder::new().name(CONTROL_THREAD.into());
        let thread = builder
            .spawn(move || run_control(control, &servers))
            .map_err(|reason| StartError::Thread { reason })?;
        Ok(DaemonHandle {
            addresses,
            events,
            killed,
            thread: Some(thread),
        })
    }
}

/// Handle with which another thread stops a daemon.
#[derive(Clone, Debug)]
pub struct StopHandle {
    events: Sender<Event>,
}

impl StopHandle {
    /// Requests a graceful stop.
    pub fn stop(&self) {
        // Sending fails if the daemon has already ended.
        let _ = self.events.send(Event::Shutdown);
    }
}

/// HTTP servers of a daemon.
struct HttpServers {
    callers: CallerServer,
    operators: OperatorServer,
}

impl HttpServers {
    fn start(
        settings: &Settings,
        hub: &Arc<TrafficHub>,
        operator_calls: &Arc<OperatorCalls>,
        metrics_page: Arc<dyn MetricsPage>,
    ) -> Result<Self, StartError> {
        let ListenAddresses {
            callers, operators, ..
        } = settings.listen;
        let token = settings.operator_token.clone();
        Ok(Self {
            callers: CallerServer::start(callers, settings.limits, Arc::clone(hub), metrics_page)
                .map_err(listen_error("listen.callers", callers))?,
            operators: OperatorServer::start(operators, token, Arc::clone(operator_calls))
                .map_err(listen_error("listen.operators", operators))?,
        })
    }
}

impl DaemonHandle {
    /// Addresses that the daemon listens on.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Requests a graceful stop.
    pub fn stop(&self) {
        self.stop_handle().stop();
    }

    /// Creates a handle with which another thread stops the daemon.
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            events: self.events.clone(),
        }
    }

    /// Ends the daemon at once, without notifying peers, upstreams or callers.
    pub fn kill(&self) {
        self.killed.store(true, Ordering::Relaxed);
        let _ = self.events.send(Event::Tick);
    }

    /// Waits until the daemon has ended. Returns false if its control thread panicked.
    pub fn join(mut self) -> bool {
        self.thread
            .take()
            .is_none_or(|thread| thread.join().is_ok())
    }
}

fn run_control(control: Control, servers: &HttpServers) {
    let (hub, operator_calls) = (
        Arc::clone(&control.hub),
        Arc::clone(&control.operator_calls),
    );
    control.run();
    servers.callers.stop();
    servers.operators.stop();
    hub.close_all();
    operator_calls.close();
}

fn listen_error(key: &'static str, address: SocketAddr) -> impl Fn(io::Error) -> StartError {
    move |reason| StartError::Listen {
        key,
        address,
        reason,
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_millis() as u64)
}
