//! The fault soak: the real programs under faults from outside, judged by what callers and upstreams see.

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmon_soak::run(&argh::from_env())
}
