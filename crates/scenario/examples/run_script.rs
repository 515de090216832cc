//! Runs scenario scripts: `cargo run -p persimmon-scenario --example run_script -- FILE...`.
//!
//! Each file holds one script, without the `----` line and the expected report of the files in
//! `scenarios/`.

use persimmon_scenario::run_script;
use std::{env, fs, io};

fn main() -> io::Result<()> {
    for path in env::args().skip(1) {
        let text = fs::read_to_string(&path)?;
        let report = run_script(&text);
        println!("{path}\n{}{}", report.details, report.verdict);
    }
    Ok(())
}
