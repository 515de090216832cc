//! Starts one stand-in and prints its addresses.

use argh::FromArgs;
use persimmon_standin::{
    engine::EngineFields, platform::PlatformFields, read_settings, service::ServiceFields, Engine,
    Platform, Service, StandinError,
};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode, thread};

/// Stand-ins for upstreams and the platform, with faults to switch.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineArgs),
    Service(ServiceArgs),
    Platform(PlatformArgs),
}

/// a model engine
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// settings in JSON
    #[argh(option)]
    settings: PathBuf,
}

/// a plain service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// settings in JSON
    #[argh(option)]
    settings: PathBuf,
}

/// the platform's services
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// settings in JSON
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    match run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmon-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), StandinError> {
    match args.command {
        Command::Engine(args) => {
            let handle = Engine::start(read_settings::<EngineFields, _>(&args.settings)?)?;
            serve_on("engine", handle.address(), handle.control_address());
        }
        Command::Service(args) => {
            let handle = Service::start(read_settings::<ServiceFields, _>(&args.settings)?)?;
            serve_on("service", handle.address(), handle.control_address());
        }
        Command::Platform(args) => {
            let handle = Platform::start(read_settings::<PlatformFields, _>(&args.settings)?)?;
            serve_on("platform", handle.address(), handle.control_address());
        }
    }
    Ok(())
}

fn serve_on(what: &str, address: SocketAddr, control_address: SocketAddr) {
    println!("{what} http://{address} control http://{control_address}");
    loop {
        thread::park();
    }
}
