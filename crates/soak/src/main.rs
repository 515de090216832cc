//! Entry point of the fault soak.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmon_soak::run(&argh::from_env())
}
