//! A short seeded run of the real gateway, and the seeds that once failed.

use persimmon_soak::{soak, SoakArgs};
use std::{env, path::PathBuf, process::Command};

/// The gateway, built for tests beside this crate.
fn gateway() -> PathBuf {
    let built = Command::new(env!("CARGO"))
        .args([
            "build",
            "-p",
            "persimmon-platform",
            "--bin",
            "persimmon-gateway",
        ])
        .status();
    assert!(built.unwrap().success(), "the gateway can't be built");
    let test = env::current_exe().unwrap();
    let profile = test.ancestors().nth(2).unwrap();
    profile.join("persimmon-gateway")
}

#[test]
fn promises_hold_under_a_short_series_of_faults() {
    let program = gateway();
    let folder = env::temp_dir().join("persimmon-soak-short");
    let args = SoakArgs {
        program,
        folder,
        seed: 1,
        seeds: 1,
        seconds: 14,
        daemons: 4,
        engines: 6,
        desks: 3,
        callers: 12,
    };
    let verdict = soak(&args, 1).unwrap();
    assert!(verdict.breaches.is_empty(), "{verdict:#?}");
    assert!(verdict.faults_len >= 5, "{verdict:?}");
    assert!(
        verdict.whole_len * 10 >= verdict.asked_len * 8,
        "{verdict:?}"
    );
}
