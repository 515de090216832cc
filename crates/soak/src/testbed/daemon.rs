//! A gateway under test, as a separate process.

use super::{
    proxy::{Link, Proxy},
    upstream::RestartableUpstream,
};
use crate::{
    history::{Component, DaemonIndex, History, Observation},
    invariant::ALLOWANCE_REQUESTS,
    SoakError,
};
use rustix::process::{kill_process, Pid, Signal as SystemSignal};
use serde_json::json;
use std::{
    fs::{self, File, OpenOptions},
    io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU16, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};
use tokio::time::sleep;

/// Interval at which a process is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay from the exit of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time after a restart during which the daemon counts as disturbed.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// Ports of a daemon for callers, readiness, metrics and peers.
const PORTS: [u16; 4] = [7_001, 7_002, 7_003, 7_004];

/// Port of the first upstream, on the address of each daemon.
const UPSTREAMS_PORT: u16 = 7_100;

/// Difference between the network numbers of successive deployments.
const NETWORK_STEP: u16 = 9_973;

/// Lowest second octet of a network; lower loopback networks are left to other programs.
const NETWORK_HIGH_MIN: u8 = 0x80;

/// Part of the log line for a new connection to a peer.
const PEER_CONNECTED: &str = r#""message":"peer","kvs":{"connected":true"#;

/// A signal to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Signal {
    /// Shut down gracefully (SIGTERM).
    Terminate,
    /// Terminate immediately (SIGKILL).
    Kill,
    /// Suspend (SIGSTOP).
    Pause,
    /// Continue after [`Signal::Pause`] (SIGCONT).
    Resume,
    /// Reload the settings (SIGHUP).
    Reload,
}

impl Signal {
    const fn number(self) -> SystemSignal {
        match self {
            Self::Terminate => SystemSignal::TERM,
            Self::Kill => SystemSignal::KILL,
            Self::Pause => SystemSignal::STOP,
            Self::Resume => SystemSignal::CONT,
            Self::Reload => SystemSignal::HUP,
        }
    }
}

/// Network, number and failure domain of a gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonSpec<'a> {
    pub(crate) network: Network,
    pub(crate) index: DaemonIndex,
    pub(crate) domain: &'a str,
    pub(crate) dispatch: DispatchOptions,
    pub(crate) limits: DaemonLimits,
}

/// Limits of a gateway's VM, as its settings state them.
#[derive(Clone, Copy, Debug)]
pub struct DaemonLimits {
    /// Memory of the VM; none if the settings don't state it.
    pub vm_limit_mib: Option<u64>,
    /// Descriptors that the process may open.
    pub descriptors_max_len: usize,
}

impl Default for DaemonLimits {
    fn default() -> Self {
        Self {
            vm_limit_mib: None,
            descriptors_max_len: 1_000,
        }
    }
}

/// Settings of the dispatchers of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchOptions {
    /// Time from the request to stop until the process exits.
    pub(crate) grace_s: f64,
}

impl DispatchOptions {
    fn settings(self) -> serde_json::Value {
        json!({
            "grace_s": self.grace_s,
            "retry_allowance_requests": ALLOWANCE_REQUESTS,
        })
    }
}

/// A gateway process and its proxied links.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) index: DaemonIndex,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// Where the daemon itself listens for callers.
    pub(crate) callers_address: SocketAddr,
    pub(crate) callers: Proxy,
    pub(crate) store: Proxy,
    /// The daemon's own links to upstreams.
    upstreams: Vec<Proxy>,
    pub(crate) log: PathBuf,
    program: PathBuf,
    settings: PathBuf,
    history: History,
    child: Mutex<Option<Child>>,
    is_shut_down: AtomicBool,
}

impl Daemon {
    /// Starts a gateway and a task that restarts it whenever it exits.
    pub(crate) async fn start(
        spec: DaemonSpec<'_>,
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        upstreams: &[Arc<RestartableUpstream>],
        history: &History,
    ) -> Result<Arc<Self>, SoakError> {
        let DaemonSpec {
            network,
            index,
            domain,
            ..
        } = spec;
        let [callers, readiness, metrics, peers] = PORTS.map(|port| network.address(index, port));
        let store = Proxy::start(Some(store)).await?;
        let settings = folder.join(format!("daemon-{index}.json"));
        let mut dispatch = spec.dispatch.settings();
        if let Some(vm_limit_mib) = spec.limits.vm_limit_mib {
            dispatch["memory"] = json!({ "vm_limit_mib": vm_limit_mib });
        }
        let text = json!({
            "vm": format!("vm-{index}"),
            "domain": domain,
            "listen": {
                "callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers
            },
            "store": store.address(),
            "upstream_source": callers.ip(),
            "descriptors_max_len": spec.limits.descriptors_max_len,
            "dispatch": dispatch,
        });
        fs::write(&settings, text.to_string())?;
        let mut links = Vec::new();
        for upstream in upstreams {
            let address = SocketAddr::new(callers.ip(), upstream.address.port());
            links.push(Proxy::start_at(address, Some(upstream.proxy.address())).await?);
        }
        let daemon = Arc::new(Self {
            index,
            readiness,
            metrics,
            callers_address: callers,
            callers: Proxy::start(Some(callers)).await?,
            store,
            upstreams: links,
            program: program.to_owned(),
            settings,
            log: folder.join(format!("daemon-{index}.log")),
            history: history.clone(),
            child: Mutex::default(),
            is_shut_down: AtomicBool::new(false),
        });
        daemon.spawn()?;
        tokio::spawn(Arc::clone(&daemon).supervise());
        Ok(daemon)
    }

    fn spawn(&self) -> Result<(), SoakError> {
        let log = |path: &Path| OpenOptions::new().create(true).append(true).open(path);
        let output: File = log(&self.log)?;
        let errors = output.try_clone()?;
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = command.spawn().map_err(|reason| SoakError::Program {
            program: self.program.clone(),
            reason,
        })?;
        *self.lock() = Some(child);
        Ok(())
    }

    /// Sends a signal to the process. Returns false where no process runs.
    pub(crate) fn signal(&self, signal: Signal) -> bool {
        let child = self.lock();
        let pid = child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        pid.is_some_and(|pid| kill_process(pid, signal.number()).is_ok())
    }

    /// Id of the process; none while it is restarted.
    pub(crate) fn process_id(&self) -> Option<u32> {
        self.lock().as_ref().map(Child::id)
    }

    /// Number of connections to peers that the log reports.
    pub(crate) fn peers_len(&self) -> io::Result<usize> {
        let log = fs::read_to_string(&self.log)?;
        let connected = log.lines().filter(|line| line.contains(PEER_CONNECTED));
        Ok(connected.count())
    }

    /// Changes the state of the daemon's own links to all upstreams.
    pub(crate) fn set_upstream_links(&self, link: Link) {
        for upstream in &self.upstreams {
            upstream.set_link(link);
        }
    }

    /// Restarts the process whenever it exits, until the daemon is shut down.
    async fn supervise(self: Arc<Self>) {
        loop {
            sleep(POLL_INTERVAL).await;
            let Some(code) = self.take_exit_code() else {
                continue;
            };
            if self.is_shut_down.load(Ordering::Relaxed) {
                return;
            }
            let restart = Component::Restart(self.index);
            self.history
                .record(Observation::FaultStarted(restart.clone()));
            self.history.record(Observation::DaemonExited {
                daemon: self.index,
                code,
            });
            sleep(RESTART_DELAY).await;
            if self.is_shut_down.load(Ordering::Relaxed) || self.spawn().is_err() {
                return;
            }
            sleep(STARTUP_TIME).await;
            self.history.record(Observation::FaultEnded(restart));
        }
    }

    /// Returns the exit code of a process that has exited since the last call; the code is `None`
    /// after a signal.
    fn take_exit_code(&self) -> Option<Option<i32>> {
        let mut child = self.lock();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status.code())
    }

    /// Kills the process and stops restarting it.
    pub(crate) fn shut_down(&self) {
        self.is_shut_down.store(true, Ordering::Relaxed);
        if let Some(mut child) = self.lock().take() {
            // `kill` fails for a process that has exited already; `wait` reaps it in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// A /24 of the loopback network for the daemons of one deployment, so that the ports do not collide
/// with those of other soaks or of outgoing connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network([u8; 2]);

/// Number of deployments started by this process.
static NETWORKS_COUNT: AtomicU16 = AtomicU16::new(0);

impl Network {
    /// Picks a network from the process id and the number of the deployment.
    pub(crate) fn next() -> Self {
        let count = NETWORKS_COUNT.fetch_add(1, Ordering::Relaxed);
        let number = (process::id() as u16).wrapping_add(count.wrapping_mul(NETWORK_STEP));
        let [high, low] = number.to_be_bytes();
        Self([NETWORK_HIGH_MIN | high >> 1, low])
    }

    /// The address under which an upstream is registered: on whichever address a connection comes from, so that
    /// each daemon has a link of its own.
    pub(crate) fn upstream_address(index: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::UNSPECIFIED, UPSTREAMS_PORT + index as u16))
    }

    fn address(self, index: DaemonIndex, port: u16) -> SocketAddr {
        let Self([high, low]) = self;
        SocketAddr::from((Ipv4Addr::new(127, high, low, index as u8 + 1), port))
    }
}
