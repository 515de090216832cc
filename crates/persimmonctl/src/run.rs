//! Runs the command of the command line and prints its output.

use crate::{
    args::{Cli, Command, ConfigCommand, KeysArgs, KeysCommand, PlanArgs, PlanCommand},
    client::{HttpClient, OperatorClient},
    explain::explain,
    keys::new_keys,
    report, CtlError, Exit,
};
use persimmon_core::{
    config::{Configuration, PlacementRule},
    ids::OperatorName,
    operator::{Intent, OperatorCommand, OperatorReply},
};
use std::{env, fs, path::Path, process::ExitCode};

/// Runs one command, prints its output or error, and returns the exit code.
pub fn run(cli: &Cli) -> ExitCode {
    match execute(cli) {
        Ok(text) => {
            print!("{text}");
            Exit::Done.into()
        }
        Err(error) => {
            print_error(cli, &error);
            Exit::from(&error).into()
        }
    }
}

fn print_error(cli: &Cli, error: &CtlError) {
    match error {
        CtlError::Refused(refused) if cli.json => {
            print!("{}", report::json(&OperatorReply::Refused(refused.clone())));
        }
        error => eprintln!("persimmonctl: {error}"),
    }
}

fn execute(cli: &Cli) -> Result<String, CtlError> {
    match &cli.command {
        Command::Keys(KeysArgs {
            command: KeysCommand::New(new),
        }) => new_keys(new),
        Command::Explain(args) => explain(args),
        Command::Status(_) => send(cli, &OperatorCommand::Status),
        Command::Fleet(_) => send(cli, &OperatorCommand::Fleet),
        Command::Config(config) => match config.command {
            ConfigCommand::Show(_) => send(cli, &OperatorCommand::ConfigShow),
            ConfigCommand::History(_) => send(cli, &OperatorCommand::ConfigHistory),
        },
        Command::Plan(plan) => send(cli, &plan_command(plan)?),
        Command::Confirm(confirm) => send(cli, &OperatorCommand::Confirm(confirm.plan.clone())),
    }
}

fn send(cli: &Cli, command: &OperatorCommand) -> Result<String, CtlError> {
    let client = HttpClient::new(cli.daemon, read_token(cli)?, operator_name(cli)?);
    match client.send(command)? {
        OperatorReply::Refused(error) => Err(error.into()),
        reply if cli.json => Ok(report::json(&reply)),
        reply => Ok(report::text(&reply)),
    }
}

fn plan_command(plan: &PlanArgs) -> Result<OperatorCommand, CtlError> {
    let intent = match &plan.command {
        PlanCommand::Show(show) => return Ok(OperatorCommand::PlanShow(show.plan.clone())),
        PlanCommand::List(_) => return Ok(OperatorCommand::PlanList),
        PlanCommand::DrainDomain(args) => Intent::DrainDomain(args.domain.clone()),
        PlanCommand::ReturnDomain(args) => Intent::ReturnDomain(args.domain.clone()),
        PlanCommand::DrainUpstream(args) => Intent::DrainUpstream(args.upstream.clone()),
        PlanCommand::ReturnUpstream(args) => Intent::ReturnUpstream(args.upstream.clone()),
        PlanCommand::Serve(args) => Intent::Serve(PlacementRule {
            model: args.model.clone(),
            workspaces: args.workspaces.iter().cloned().collect(),
            domains: args.domains.iter().cloned().collect(),
        }),
        PlanCommand::SetWeight(args) => Intent::SetWeight {
            workspace: args.workspace.clone(),
            weight_count: args.weight_count,
        },
        PlanCommand::Replace(args) => Intent::Replace(Box::new(read_configuration(&args.file)?)),
    };
    Ok(OperatorCommand::Plan {
        intent,
        force: plan.force,
    })
}

fn read_configuration(path: &Path) -> Result<Configuration, CtlError> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|source| CtlError::File {
        path: path.into(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| CtlError::Malformed {
        path: path.into(),
        source,
    })
}

fn read_token(cli: &Cli) -> Result<String, CtlError> {
    let Some(path) = &cli.token_file else {
        return env::var("PERSIMMON_TOKEN").map_err(|_| CtlError::NoToken);
    };
    let text = fs::read_to_string(path);
    let text = text.map_err(|source| CtlError::File {
        path: path.clone(),
        source,
    })?;
    Ok(text.trim().to_owned())
}

fn operator_name(cli: &Cli) -> Result<OperatorName, CtlError> {
    let user = || env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let name = cli.operator.clone().unwrap_or_else(user);
    name.parse().map_err(CtlError::Operator)
}
