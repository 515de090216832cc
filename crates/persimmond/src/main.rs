//! The daemon's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmond::run(&argh::from_env())
}
