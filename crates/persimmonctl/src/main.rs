//! The operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmonctl::run(&argh::from_env())
}
