//! Prefill alongside decode on deployment 2: a third of its engines, daemons and rates.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    replay::{Outcome, Phase, Policy, Replay},
    site::{hard_load_bursts, hard_load_phase, Site},
};
use persimmon_core::{dispatch::RawDispatchSettings, engine::gaps::RawGapSettings};

fn replay(settings: RawDispatchSettings, phases: &[Phase], seed: u64) -> Outcome {
    Replay::on_site(
        Site::hard_load(),
        settings,
        Policy::Dispatcher,
        20,
        26,
        seed,
    )
    .play(phases)
}

#[test]
#[ignore]
fn measure() {
    let env = |name: &str, other: u32| std::env::var(name).map_or(other, |v| v.parse().unwrap());
    let on = RawDispatchSettings {
        gaps: Some(RawGapSettings {
            limit_percent: env("LIMIT", 90),
            delayed_cost_percent: env("DELAYED", 200),
            room_requests: env("ROOM", 4),
            rate_window_ms: env("WINDOW", 3_000).into(),
        }),
        ..RawDispatchSettings::default()
    };
    for (name, phases) in [
        ("usual", vec![hard_load_phase(15_000, [1.0; 3])]),
        ("bursts", hard_load_bursts()),
    ] {
        for (mode, settings) in [("off", RawDispatchSettings::default()), ("on", on)] {
            if mode == "off" && env("OFF", 0) == 0 {
                continue;
            }
            let mut lines = [(0, 0, 0, 0, [0; 3]); 3];
            let (mut credit, mut overruns) = (0.0, 0);
            for seed in 1..=8 {
                let outcome = replay(settings, &phases, seed);
                for (line, t) in lines.iter_mut().zip(outcome.kinds) {
                    line.0 += t.asked;
                    line.1 += t.on_time;
                    line.2 += t.refused;
                    line.3 += t.left;
                    for i in 0..3 {
                        line.4[i] += t.late_by[i];
                    }
                }
                credit += outcome.credit / 8.0;
                overruns += outcome.overruns_count;
            }
            print!("{name} {mode}: credit {credit:.3} overruns {overruns}");
            for l in lines {
                print!(
                    " | {:.1}% of {} ref {} left {} {:?}",
                    100.0 * f64::from(l.1) / f64::from(l.0),
                    l.0,
                    l.2,
                    l.3,
                    l.4
                );
            }
            println!();
        }
    }
}
