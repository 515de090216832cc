//! The `persimmond` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmond::run(&argh::from_env())
}
