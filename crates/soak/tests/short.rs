//! A short seeded run of the real gateway, and the seeds that once failed.

mod common;

use common::gateway;
use persimmon_soak::{soak, SoakArgs};
use std::env;

#[test]
fn promises_hold_under_a_short_series_of_faults() {
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
        desks_len: 3,
        callers_len: 12,
    };
    let verdict = soak(&args, 1).unwrap();
    assert!(verdict.breaches.is_empty(), "{verdict:#?}");
    assert!(verdict.faults_len >= 5, "{verdict:?}");
    assert!(
        verdict.whole_len * 10 >= verdict.asked_len * 8,
        "{verdict:?}"
    );
}
