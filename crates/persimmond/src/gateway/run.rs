//! Entry point of the gateway binary.

use super::{control::Control, meter::Meter, signals, traffic::Traffic, Adapter, GatewayError};
use crate::telemetry;
use argh::FromArgs;
use flume::Sender;
use persimmon_core::dispatch::{DispatchEvent, Dispatcher};
use persimmon_io::{
    logs,
    settings::{load_gateway, GatewaySettings},
    transport::{CallerListener, Hub},
    BootClock,
};
use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{atomic::AtomicBool, Arc},
    thread,
};

/// Name of the control thread as shown by tools of the operating system.
const CONTROL_THREAD: &str = "control";

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Serve callers on the platform.
#[derive(Debug, FromArgs, PartialEq)]
pub struct GatewayArgs {
    /// file with the settings as JSON
    #[argh(option)]
    pub settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    pub check: bool,
}

/// Runs a gateway until it is asked to stop.
pub fn run(args: &GatewayArgs, adapter: Adapter) -> ExitCode {
    match serve(args, adapter) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmon-gateway: {error}");
            match error {
                GatewayError::Settings(_) => INVALID_SETTINGS_EXIT_CODE.into(),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn serve(args: &GatewayArgs, adapter: Adapter) -> Result<(), GatewayError> {
    let settings = load_gateway(&args.settings)?;
    if args.check {
        println!("{}: no mistakes found", args.settings.display());
        return Ok(());
    }
    logs::start_on_stdout(&settings.log)?;
    let (events, inbox) = flume::unbounded();
    watch_signals(events.clone(), args.settings.clone())?;
    let telemetry = telemetry().map_err(|error| GatewayError::Telemetry(error.to_string()))?;
    let hub = Arc::new(Hub::new(events));
    let (jobs, job_receiver) = flume::unbounded();
    let limits = CallerListener::default_limits();
    let ready = Arc::new(AtomicBool::new(false));
    let control = Control {
        vm: settings.vm.clone(),
        dispatcher: Dispatcher::new(
            settings.dispatch.clone(),
            settings.vm.clone(),
            settings.domain.clone(),
        ),
        clock: BootClock::start(),
        inbox,
        hub: Arc::clone(&hub),
        jobs,
        limits: Arc::clone(&limits),
        ready: Arc::clone(&ready),
        meter: Meter::new(Arc::clone(&telemetry)),
    };
    log_started(&settings);
    let builder = thread::Builder::new().name(CONTROL_THREAD.into());
    let thread = builder
        .spawn(move || control.run())
        .map_err(GatewayError::Thread)?;
    let traffic = Traffic {
        settings,
        adapter,
        hub,
        jobs: job_receiver,
        limits,
        ready,
        telemetry,
    };
    traffic.run()?;
    thread.join().map_err(|_| GatewayError::ControlPanicked)?;
    log::info!("stopped");
    log::logger().flush();
    Ok(())
}

fn log_started(settings: &GatewaySettings) {
    log::info!(
        vm:% = settings.vm,
        callers:% = settings.listen.callers,
        peers:% = settings.listen.peers,
        store:% = settings.store;
        "started"
    );
}

/// Stops the gateway at SIGTERM or SIGINT and reloads the settings at SIGHUP. A reload changes the
/// dispatcher's settings only: addresses and the VM's name can't change at run time.
fn watch_signals(events: Sender<DispatchEvent>, settings: PathBuf) -> Result<(), GatewayError> {
    let stop_events = events.clone();
    // Sending fails if the control thread has ended; the process ends by itself in this case.
    let stop = move || drop(stop_events.send(DispatchEvent::Stop));
    let reload = move || match load_gateway(&settings) {
        Ok(settings) => drop(events.send(DispatchEvent::Reload(Box::new(settings.dispatch)))),
        Err(error) => log::warn!("settings not reloaded, the previous ones stay in force: {error}"),
    };
    signals::watch(stop, reload).map_err(GatewayError::Signals)
}
