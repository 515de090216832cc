//! Starts the daemons of a demo deployment.

use super::{fleet::DEMO_TOKEN, DemoError, VmSlot};
use persimmon_core::{daemon::ComponentSettings, platform::VmRecord};
use persimmon_io::{
    http::HttpLimits,
    link::PeerLink,
    peer::KeyPairPem,
    settings::{ListenAddresses, LogFormat, LogSettings, OperatorToken, Settings, TlsFiles},
};
use persimmond::{telemetry, Daemon, DaemonHandle, Dependencies};
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, OnceLock, Weak},
};

/// Time-out of a request for a daemon's readiness page, in seconds.
const READY_PAGE_TIMEOUT_SECS: u64 = 2;

/// Settings of one daemon, with free ports of the loopback interface and keys in memory.
pub(super) fn settings(
    slot: &VmSlot,
    seeds: Vec<VmRecord>,
    platform: SocketAddr,
    components: &ComponentSettings,
) -> Result<Settings, DemoError> {
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(Settings {
        vm: slot.vm.clone(),
        domain: slot.domain.clone(),
        listen: ListenAddresses {
            callers: free_port,
            operators: free_port,
            peers: free_port,
        },
        seeds,
        platform,
        tls: TlsFiles {
            ca_file: PathBuf::new(),
            cert_file: PathBuf::new(),
            key_file: PathBuf::new(),
        },
        operator_token: OperatorToken::try_from(DEMO_TOKEN.to_owned())?,
        limits: HttpLimits::default(),
        log: LogSettings {
            format: LogFormat::Text,
            level: log::LevelFilter::Info,
        },
        components: components.clone(),
    })
}

/// A running daemon, and its link to peers while the daemon holds one.
pub(super) struct StartedDaemon {
    pub(super) handle: DaemonHandle,
    pub(super) link: Option<Weak<dyn PeerLink>>,
}

/// Starts one daemon with a newly generated key pair.
pub(super) fn start(settings: Settings, ca: &KeyPairPem) -> Result<StartedDaemon, DemoError> {
    let keys = ca.new_vm(&settings.vm)?;
    let mut dependencies = Dependencies::production(&settings, &keys, telemetry()?)?;
    let (open, opened) = (dependencies.link_factory, Arc::new(OnceLock::new()));
    let opening = Arc::clone(&opened);
    dependencies.link_factory = Box::new(move |vm, incarnation, events| {
        let link = open(vm, incarnation, events)?;
        opening.get_or_init(|| Arc::downgrade(&link));
        Ok(link)
    });
    Ok(StartedDaemon {
        handle: Daemon::start(settings, dependencies)?,
        link: opened.get().cloned(),
    })
}

/// Checks whether a daemon is ready. Returns the text of its readiness page if not.
pub(super) fn check_ready(callers: SocketAddr) -> Result<(), String> {
    let page = minreq::get(format!("http://{callers}/readyz"));
    let page = page
        .with_timeout(READY_PAGE_TIMEOUT_SECS)
        .send()
        .map_err(|e| e.to_string())?;
    match page.status_code {
        200 => Ok(()),
        _ => Err(page.as_str().unwrap_or("no text").to_owned()),
    }
}
