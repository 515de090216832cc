//! Builds the gateway for tests.

use std::{env, path::PathBuf, process::Command};

/// Names the gateway of another build, to compare.
const OTHER_GATEWAY: &str = "PERSIMMON_TEST_GATEWAY";

/// Builds the gateway in the profile of this test and returns its path.
pub(crate) fn gateway() -> PathBuf {
    if let Some(program) = env::var_os(OTHER_GATEWAY) {
        return program.into();
    }
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
