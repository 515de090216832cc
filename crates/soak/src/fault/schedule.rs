//! Which faults come when, drawn from a seed.

use persimmon_core::units::Millis;
use rand_chacha::{
    rand_core::{Rng, SeedableRng},
    ChaCha8Rng,
};
use std::time::Duration;

/// Calm time before the first fault.
const LEAD_MS: u64 = 3_000;

/// Mean time between two faults, or series of them.
const PAUSE_MS: u64 = 1_300;

/// Most faults of a series.
const SERIES_MAX_LEN: u64 = 3;

/// Time between the faults of a series.
const SERIES_PAUSE_MS: u64 = 350;

/// Shortest and longest time that a fault lasts.
const SPAN_MIN_MS: u64 = 400;
const SPAN_MAX_MS: u64 = 4_500;

/// A fault that comes from outside. Numbers name a daemon or an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A process is killed.
    Kill(usize),
    /// A process is asked to stop.
    Terminate(usize),
    /// A process stands still.
    Pause(usize),
    /// A process is asked to read its settings again.
    Reload(usize),
    /// The link from callers to a daemon breaks.
    CallersReset(usize),
    /// The link between callers and a daemon is slow.
    CallersSlow(usize),
    /// A daemon's link to the store holds all.
    StoreSilent(usize),
    /// A daemon's link to the store breaks.
    StoreReset(usize),
    /// The store refuses all.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// The store loses answers, and is late.
    StoreLosesAnswers,
    /// The store drops its history.
    StoreForgets,
    /// An upstream ends without a word.
    Crash(usize),
    /// An upstream leaves in good order.
    Leave(usize),
    /// The link to an upstream holds all.
    Silent(usize),
    /// The link to an upstream holds what comes back.
    OneWay(usize),
    /// The link to an upstream breaks.
    Reset(usize),
    /// The link to an upstream is slow.
    Slow(usize),
    /// An upstream runs some requests and fails them.
    Fails(usize),
    /// An upstream turns some requests away.
    Sheds(usize),
    /// An upstream breaks some answers off.
    Breaks(usize),
    /// An upstream turns cold.
    Chill(usize),
    /// A failure domain leaves service.
    DomainOut(usize),
    /// A key is revoked.
    KeyGone,
    /// A route comes or goes.
    RouteChange,
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Moment {
    /// Time from the start of the load.
    pub at_ms: Millis,
    /// How long it lasts, where it does.
    pub span_ms: Millis,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run: series that overlap, until `span` is over.
pub fn schedule(seed: u64, span: Duration) -> Vec<Moment> {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = LEAD_MS;
    let mut moments = Vec::new();
    while at_ms + SPAN_MAX_MS < span.as_millis() as u64 {
        let kind = draws.next_u64();
        let series_len = 1 + draws.next_u64() % SERIES_MAX_LEN;
        for index in 0..series_len {
            let drawn_ms = draws.next_u64() % (SPAN_MAX_MS - SPAN_MIN_MS);
            moments.push(Moment {
                at_ms: Millis::new(at_ms + index * SERIES_PAUSE_MS),
                span_ms: Millis::new(SPAN_MIN_MS + drawn_ms),
                fault: fault(kind, draws.next_u64() as usize % 1_000),
            });
        }
        at_ms += PAUSE_MS / 2 + draws.next_u64() % PAUSE_MS;
    }
    moments
}

fn fault(kind: u64, index: usize) -> Fault {
    let one_of = [
        Fault::Kill(index),
        Fault::Terminate(index),
        Fault::Terminate(index),
        Fault::Pause(index),
        Fault::Reload(index),
        Fault::CallersReset(index),
        Fault::CallersSlow(index),
        Fault::StoreSilent(index),
        Fault::StoreReset(index),
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::StoreLosesAnswers,
        Fault::StoreForgets,
        Fault::Crash(index),
        Fault::Leave(index),
        Fault::Silent(index),
        Fault::OneWay(index),
        Fault::Reset(index),
        Fault::Slow(index),
        Fault::Fails(index),
        Fault::Sheds(index),
        Fault::Breaks(index),
        Fault::Chill(index),
        Fault::DomainOut(index),
        Fault::KeyGone,
        Fault::RouteChange,
    ];
    one_of[kind as usize % one_of.len()]
}
