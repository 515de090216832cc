//! From the command line to a running daemon.

use crate::{Args, Daemon, Parts, StartError};
use persimmon_core::daemon::PartSettings;
use persimmon_io::{
    http::Pages,
    peer::Keys,
    settings::{self, Settings, SettingsError},
};
use std::{process::ExitCode, sync::Arc};
use thiserror::Error;

/// Exit code for wrong settings.
const WRONG_SETTINGS: u8 = 2;

#[derive(Debug, Error)]
enum RunError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("the control thread ended by a fault: see the log")]
    Fault,
}

/// Runs a daemon until it is asked to stop.
pub fn run(args: &Args) -> ExitCode {
    match serve(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmond: {error}");
            match error {
                RunError::Settings(_) => WRONG_SETTINGS.into(),
                RunError::Fault | RunError::Start(_) => ExitCode::FAILURE,
            }
        }
    }
}

fn serve(args: &Args) -> Result<(), RunError> {
    let settings = settings::load(&args.settings)?;
    let keys = keys(&settings)?;
    if args.check {
        println!("{}: no mistakes found", args.settings.display());
        return Ok(());
    }
    let parts = Parts::real(
        &settings,
        &keys,
        PartSettings::default(),
        Arc::new(NoMetrics),
    )?;
    let handle = Daemon::start_with(settings, parts)?;
    if handle.join() {
        Ok(())
    } else {
        Err(RunError::Fault)
    }
}

fn keys(settings: &Settings) -> Result<Keys, StartError> {
    let tls = &settings.tls;
    Ok(Keys::read(&tls.ca_file, &tls.cert_file, &tls.key_file)?)
}

#[derive(Debug)]
struct NoMetrics;

impl Pages for NoMetrics {
    fn metrics(&self) -> String {
        String::new()
    }
}
