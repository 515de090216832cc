//! Starts one stand-in and prints its addresses.

use argh::FromArgs;
use log::LevelFilter;
use persimmon_core::daemon::ComponentSettings;
use persimmon_io::{
    logs,
    settings::{LogFormat, LogSettings},
};
use persimmon_standin::{
    demo::{DemoError, Deployment, DeploymentFields, Fleet, DEMO_TOKEN},
    engine::EngineFields,
    platform::PlatformFields,
    read_settings,
    service::ServiceFields,
    Engine, Platform, Service,
};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode, thread};

/// Stand-ins for upstreams and the platform, with fault injection.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    Platform(PlatformArgs),
}

/// a complete deployment in one process, on the loopback interface
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// the deployment in JSON (default: the jadeleaf example)
    #[argh(option)]
    deployment: Option<PathBuf>,
    /// lowest level of the daemons' log lines that is written (default: none are written)
    #[argh(option)]
    log: Option<LevelFilter>,
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

fn run(args: Args) -> Result<(), DemoError> {
    match args.command {
        Command::Demo(args) => demo(&args)?,
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

fn demo(args: &DemoArgs) -> Result<(), DemoError> {
    let deployment = match &args.deployment {
        Some(file) => read_settings::<DeploymentFields, Deployment>(file)?,
        None => Deployment::example()?,
    };
    if let Some(level) = args.log {
        let format = LogFormat::Text;
        logs::start(&LogSettings { format, level })?;
    }
    let fleet = Fleet::start(&deployment, &ComponentSettings::default())?;
    print_fleet(&fleet);
    print_hints(&deployment, &fleet);
    loop {
        thread::park();
    }
}

fn print_fleet(fleet: &Fleet) {
    println!(
        "platform {} control {}",
        fleet.platform.address(),
        fleet.platform.control_address()
    );
    for (id, engine) in &fleet.engines {
        println!(
            "engine {id} {} control {}",
            engine.address(),
            engine.control_address()
        );
    }
    for (id, server) in &fleet.servers {
        println!(
            "service {id} {} control {}",
            server.address(),
            server.control_address()
        );
    }
    for (vm, daemon) in &fleet.daemons {
        let addresses = daemon.addresses();
        println!(
            "daemon {vm} callers {} operators {}",
            addresses.callers, addresses.operators
        );
    }
}

fn print_hints(deployment: &Deployment, fleet: &Fleet) {
    let Some(daemon) = fleet.daemons.values().next() else {
        return;
    };
    let workspace = deployment.workspaces.keys().next();
    let model = deployment.models.keys().next();
    if let (Some(workspace), Some(model)) = (workspace, model) {
        println!(
            "try: curl -N http://{}/v1/chat/completions -H 'X-Workspace: {workspace}' -d \
             '{{\"model\": \"{}\", \"stream\": true, \"max_tokens\": 20, \"messages\": \
             [{{\"role\": \"user\", \"content\": \"What does alarm 2041 mean?\"}}]}}'",
            daemon.addresses().callers,
            model.name(),
        );
    }
    println!(
        "try: PERSIMMON_TOKEN={DEMO_TOKEN} cargo run -q -p persimmonctl -- --daemon {} status",
        daemon.addresses().operators,
    );
}
