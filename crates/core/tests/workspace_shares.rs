//! Shares of workspaces.

#[path = "common/dispatch/mod.rs"]
mod dispatch;

use dispatch::{
    catalog, key,
    replay::{Caller, Phase, Replay, Tally, KINDS},
    profile,
};
use persimmon_core::{
    dispatch::RawDispatchSettings,
    sharing::{engine_work_ms, RawSharingSettings},
    units::Tokens,
};

fn flood(sharing: Option<RawSharingSettings>, large_ratio: f64, seed: u64) -> Replay {
    let mut catalog = catalog(1);
    for (route, priority) in catalog.routes.iter_mut().zip([0, 1, 2]) {
        route.priority = priority;
    }
    let keys = ["large", "small-1", "small-2", "small-3"];
    catalog.keys = Some(keys.map(|name| key(name, name)).to_vec());
    let caller = |key| Caller { key, rate_ratio: if key == "large" { large_ratio } else { 0.2 } };
    let settings = RawDispatchSettings { sharing, ..RawDispatchSettings::default() };
    let callers = keys.map(caller).to_vec();
    let mut replay = Replay::shared(&settings, (6, 12, seed), catalog, callers);
    replay.play(&[Phase { span_ms: 20_000, per_s: [22.0, 1.2, 1.1] }]);
    replay
}

fn show(name: &str, replay: &Replay) {
    println!("{name}");
    for caller in 0..4 {
        let t = replay.tally(caller);
        let line: Vec<_> = t.iter().map(|t| format!("{}/{}on/{}late/{}ref/{}left", t.asked, t.on_time, t.late, t.refused, t.left)).collect();
        let w = |f: fn(&Tally) -> u32| -> f64 { t.iter().zip(KINDS).map(|(t, k)| f64::from(f(t)) * engine_work_ms(&profile(), Tokens::new(k.mean as u64), Tokens::new((k.events * 51.0) as u64))).sum() };
        println!("{caller}: {} work asked {:.0} on {:.0} served {:.0}", line.join("  "), w(|t| t.asked), w(|t| t.on_time), w(|t| t.on_time + t.late));
    }
}

#[test]
fn trial() {
    for seed in 1..=2 {
        show("calm off", &flood(None, 0.4, seed));
        show("flood off", &flood(None, 2.5, seed));
        show("flood on", &flood(Some(RawSharingSettings::default()), 2.5, seed));
    }
}
