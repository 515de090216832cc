//! Entry point of the operators' command-line client.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmonctl::run(&argh::from_env())
}
