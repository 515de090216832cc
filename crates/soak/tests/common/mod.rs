//! Builds the gateway for tests.

use std::{env, path::PathBuf, process::Command};

/// Builds the gateway in the profile of this test and returns its path.
pub(crate) fn gateway() -> PathBuf {
    let test = env::current_exe().unwrap();
    let profile = test.ancestors().nth(2).unwrap();
    let mut build = Command::new(env!("CARGO"));
    build.args([
        "build",
        "-p",
        "persimmon-platform",
        "--bin",
        "persimmon-gateway",
    ]);
    if profile.ends_with("release") {
        build.arg("--release");
    }
    assert!(
        build.status().unwrap().success(),
        "the gateway can't be built"
    );
    profile.join("persimmon-gateway")
}
