//! A short seeded soak of the real gateway.

mod common;

use common::gateway;
use persimmon_soak::{soak, SoakArgs};
use std::env;

#[test]
fn invariants_hold_under_a_short_series_of_faults() {
    let program = gateway();
    let folder = env::temp_dir().join("persimmon-soak-short");
    let args = SoakArgs {
        program,
        folder,
        first_seed: 1,
        seeds_count: 1,
        faults_s: 14,
        daemons_len: 4,
        engines_len: 6,
        servers_len: 3,
        callers_len: 12,
    };
    let report = soak(&args, 1).unwrap();
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.faults_len >= 5, "{report:?}");
    assert!(report.run_once_len >= 20, "{report:?}");
    assert!(
        report.complete_len * 10 >= report.requests_len * 8,
        "{report:?}"
    );
}
