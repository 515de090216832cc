#[path = "common/dispatch/mod.rs"]
mod dispatch;
use dispatch::replay::{Phase, Policy, Replay};
use persimmon_core::{dispatch::RawDispatchSettings, returns::RawReturnsSettings};
#[test]
fn explore() {
    for seed in 1..=4 {
        for per_s in [[90.0, 0.0, 0.0], [120.0, 0.0, 0.0], [60.0, 4.0, 2.0]] {
            let raw = RawDispatchSettings {
                returns: Some(RawReturnsSettings::default()),
                ..Default::default()
            };
            let mut replay = Replay::with_settings(Policy::Dispatcher, 9, 8, seed, raw);
            replay.let_callers_return(0.3);
            let outcome = replay.play(&[Phase {
                span_ms: 12_000,
                per_s,
            }]);
            println!("{seed} {per_s:?}\n{outcome}\n{:?}", replay.return_tally());
        }
    }
}
