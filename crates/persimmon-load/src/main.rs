//! The load tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmon_load::run(&argh::from_env())
}
