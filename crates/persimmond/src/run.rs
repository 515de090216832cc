//! Entry point of the `persimmond` binary.

use crate::{telemetry, Args, Daemon, Dependencies, StartError};
use persimmon_io::{
    logs::{self, LogError},
    peer::Keys,
    settings::{self, Settings, SettingsError},
    shutdown::StopSignals,
};
use std::{io, process::ExitCode};
use thiserror::Error;

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

#[derive(Debug, Error)]
enum RunError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Log(#[from] LogError),
    #[error(
        "can't install handlers for SIGTERM and SIGINT ({0}): check the process's signal mask"
    )]
    Signals(io::Error),
    #[error("the control thread panicked: see the log")]
    ControlPanicked,
}

/// Runs a daemon until it is asked to stop.
pub fn run(args: &Args) -> ExitCode {
    match serve(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmond: {error}");
            match error {
                RunError::Settings(_) => INVALID_SETTINGS_EXIT_CODE.into(),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn serve(args: &Args) -> Result<(), RunError> {
    let settings = settings::load(&args.settings)?;
    let keys = read_keys(&settings)?;
    let dependencies = Dependencies::production(&settings, &keys, telemetry()?)?;
    if args.check {
        println!("{}: no mistakes found", args.settings.display());
        return Ok(());
    }
    logs::start(&settings.log)?;
    let signals = StopSignals::install().map_err(RunError::Signals)?;
    let handle = Daemon::start(settings, dependencies)?;
    let addresses = handle.addresses();
    log::info!(
        callers:% = addresses.callers,
        operators:% = addresses.operators,
        peers:% = addresses.peers;
        "listening"
    );
    let stop = handle.stop_handle();
    let _handler = signals.handle(move || stop.stop());
    if handle.join() {
        log::info!("stopped");
        Ok(())
    } else {
        Err(RunError::ControlPanicked)
    }
}

fn read_keys(settings: &Settings) -> Result<Keys, StartError> {
    let tls = &settings.tls;
    Ok(Keys::read(&tls.ca_file, &tls.cert_file, &tls.key_file)?)
}
