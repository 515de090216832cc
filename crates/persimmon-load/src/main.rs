//! Entry point of the load generator.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmon_load::run(&argh::from_env())
}
