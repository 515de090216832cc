//! Seeded schedules of faults.

use crate::testbed::Misbehavior;
use persimmon_core::units::Millis;
use rand_chacha::{
    rand_core::{Rng, SeedableRng},
    ChaCha8Rng,
};
use std::time::Duration;

/// Time without faults at the start of a run.
const LEAD_MS: u64 = 3_000;

/// Mean time between two series of faults.
const PAUSE_MS: u64 = 1_300;

/// Most faults in a series. All faults of a series are of one kind.
const SERIES_MAX_LEN: u64 = 3;

/// Time between the starts of two faults of a series.
const SERIES_PAUSE_MS: u64 = 350;

/// Shortest and longest duration of a fault.
const SPAN_MIN_MS: u64 = 400;
const SPAN_MAX_MS: u64 = 4_500;

/// What happens to connections over links that are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkLoss {
    /// They hang, new ones too.
    Hang,
    /// They are reset, and new ones refused.
    Refuse,
    /// They go on, and new ones are refused.
    RefuseNew,
}

/// A fault to inject. The number selects a daemon, an upstream or a failure domain, modulo how many
/// there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A daemon is killed.
    DaemonKill(usize),
    /// All daemons are killed.
    DaemonsKilled,
    /// A daemon is asked to shut down gracefully.
    DaemonTerminate(usize),
    /// A daemon's process is suspended.
    DaemonPause(usize),
    /// A daemon is asked to reload its settings.
    DaemonReload(usize),
    /// Connections from callers to a daemon are reset.
    CallersReset(usize),
    /// The link between callers and a daemon is slow.
    CallersSlow(usize),
    /// A daemon's link to the store forwards nothing.
    StoreStalled(usize),
    /// A daemon's connections to the store are reset.
    StoreReset(usize),
    /// The store refuses all calls.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// The store loses answers, and executes those calls late.
    StoreLosesAnswers,
    /// The store drops its change history.
    StoreHistoryDropped,
    /// The store is restored from a copy as old as the fault lasts.
    StoreRestored,
    /// A daemon loses its links to all upstreams.
    LinksLost(LinkLoss, usize),
    /// An upstream stops without notice.
    UpstreamCrash(usize),
    /// An upstream drains and stops.
    UpstreamDrain(usize),
    /// The link to an upstream forwards nothing.
    UpstreamStalled(usize),
    /// The link to an upstream forwards requests but no responses.
    UpstreamResponsesStalled(usize),
    /// Connections to an upstream are reset.
    UpstreamReset(usize),
    /// The link to an upstream is slow.
    UpstreamSlow(usize),
    /// An upstream runs some requests and answers them with status 500.
    UpstreamErrors(usize),
    /// All upstreams fail most requests.
    UpstreamsFail,
    /// An upstream rejects some requests without running them.
    UpstreamRejects(usize),
    /// An upstream says in its answers that it leaves, and stops.
    UpstreamLeaves(usize),
    /// An upstream states in its answers how many requests a second it takes.
    UpstreamStatesRate(usize),
    /// An upstream turns some requests away and wants no more for a time.
    UpstreamSheds(usize),
    /// An upstream truncates some answers.
    UpstreamTruncates(usize),
    /// An upstream rejects some requests, and writes each refusal once more when the next request comes.
    UpstreamRepeatsRefusals(usize),
    /// An upstream misbehaves after its responses.
    UpstreamMisbehaves(Misbehavior, usize),
    /// All upstreams misbehave after their responses.
    UpstreamsMisbehave(Misbehavior),
    /// An upstream becomes cold.
    UpstreamCold(usize),
    /// A failure domain is taken out of service.
    DomainDrain(usize),
    /// A key is revoked and a new one added.
    KeyRotation,
    /// A route is added or removed.
    RouteChange,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the load.
    pub at_ms: Millis,
    /// Duration; ignored by faults that are instantaneous or have a fixed duration.
    pub span_ms: Millis,
    /// The fault.
    pub fault: Fault,
}

/// Mean time between two of the faults that [`schedule`] draws apart from the others, so that seeds
/// keep the faults that they had.
const APART_PAUSE_MS: u64 = 6_000;

/// Distinguishes the draws of the faults apart from those of the others.
const APART_SEED_MASK: u64 = 0x5eed_a9a2;

/// The same for upstreams that state a rate.
const RATE_SEED_MASK: u64 = 0x5eed_4a7e;

/// The same for upstreams that repeat refusals.
const REPEAT_SEED_MASK: u64 = 0x5eed_2e9e;

/// The same for upstreams that misbehave while daemons are disturbed, of which a run has one stretch.
const MISBEHAVIOR_SEED_MASK: u64 = 0x5eed_3b17;

/// Duration of the stretch, the number of disturbed daemons in it, and their longest pause.
const MISBEHAVIOR_MS: u64 = 6_000;
const DISTURBED_LEN: u64 = 6;
const DISTURBED_MAX_MS: u64 = 900;

/// The same for daemons that lose their links to upstreams.
const LINKS_SEED_MASK: u64 = 0x5eed_11c5;

/// Mean time between two losses of links, and most daemons that lose them at once.
const LINKS_PAUSE_MS: u64 = 14_000;
const LINKS_MAX_LEN: u64 = 3;

/// The same for herds of kills while upstreams fail, of which a run has one.
const HERDS_SEED_MASK: u64 = 0x5eed_4e2d;

/// Number of herds, and time between two. All are within a window of the retry budget.
const HERDS_LEN: u64 = 4;
const HERDS_PAUSE_MS: u64 = 2_200;

/// The faults of a run: overlapping series, the last of which starts more than [`SPAN_MAX_MS`]
/// before `span` is over.
pub fn schedule(seed: u64, span: Duration) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = LEAD_MS;
    let mut scheduled_faults = Vec::new();
    while at_ms + SPAN_MAX_MS < span.as_millis() as u64 {
        let kind = rng.next_u64();
        let series_len = 1 + rng.next_u64() % SERIES_MAX_LEN;
        for index in 0..series_len {
            let drawn_ms = rng.next_u64() % (SPAN_MAX_MS - SPAN_MIN_MS);
            scheduled_faults.push(ScheduledFault {
                at_ms: Millis::new(at_ms + index * SERIES_PAUSE_MS),
                span_ms: Millis::new(SPAN_MIN_MS + drawn_ms),
                fault: fault(kind, rng.next_u64() as usize % 1_000),
            });
        }
        at_ms += PAUSE_MS / 2 + rng.next_u64() % PAUSE_MS;
    }
    scheduled_faults.extend(schedule_apart(seed ^ APART_SEED_MASK, span, |index| {
        vec![
            Fault::StoreRestored,
            Fault::UpstreamLeaves(index),
            Fault::UpstreamSheds(index),
        ]
    }));
    scheduled_faults.extend(schedule_apart(seed ^ RATE_SEED_MASK, span, |index| {
        vec![Fault::UpstreamStatesRate(index)]
    }));
    scheduled_faults.extend(schedule_apart(seed ^ REPEAT_SEED_MASK, span, |index| {
        vec![Fault::UpstreamRepeatsRefusals(index)]
    }));
    scheduled_faults.extend(schedule_links(seed ^ LINKS_SEED_MASK, span));
    scheduled_faults.extend(schedule_misbehavior(seed ^ MISBEHAVIOR_SEED_MASK, span));
    scheduled_faults.extend(schedule_herds(seed ^ HERDS_SEED_MASK, span));
    scheduled_faults.sort_by_key(|scheduled| scheduled.at_ms);
    scheduled_faults
}

/// Faults of one of several kinds that are drawn apart from the others.
fn schedule_apart(
    seed: u64,
    span: Duration,
    kinds: fn(usize) -> Vec<Fault>,
) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = LEAD_MS;
    let mut scheduled_faults = Vec::new();
    while at_ms + SPAN_MAX_MS < span.as_millis() as u64 {
        let index = rng.next_u64() as usize % 1_000;
        let faults = kinds(index);
        let drawn_ms = rng.next_u64() % (SPAN_MAX_MS - SPAN_MIN_MS);
        scheduled_faults.push(ScheduledFault {
            at_ms: Millis::new(at_ms),
            span_ms: Millis::new(SPAN_MIN_MS + drawn_ms),
            fault: faults[rng.next_u64() as usize % faults.len()],
        });
        at_ms += APART_PAUSE_MS / 2 + rng.next_u64() % APART_PAUSE_MS;
    }
    scheduled_faults
}

/// Losses of the links of several daemons at once.
fn schedule_links(seed: u64, span: Duration) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at_ms = LEAD_MS + rng.next_u64() % LEAD_MS;
    let mut scheduled_faults = Vec::new();
    while at_ms + SPAN_MAX_MS < span.as_millis() as u64 {
        let losses = [LinkLoss::Hang, LinkLoss::Refuse, LinkLoss::RefuseNew];
        let loss = losses[rng.next_u64() as usize % losses.len()];
        let first = rng.next_u64() as usize % 1_000;
        let daemons_len = 1 + rng.next_u64() % LINKS_MAX_LEN;
        for index in first..first + daemons_len as usize {
            scheduled_faults.push(ScheduledFault {
                at_ms: Millis::new(at_ms),
                span_ms: Millis::new(SPAN_MAX_MS),
                fault: Fault::LinksLost(loss, index),
            });
        }
        at_ms += LINKS_PAUSE_MS / 2 + rng.next_u64() % LINKS_PAUSE_MS;
    }
    scheduled_faults
}

/// All daemons are killed several times within one window of the retry budget, while all upstreams fail.
fn schedule_herds(seed: u64, span: Duration) -> Vec<ScheduledFault> {
    let span_ms = HERDS_LEN * HERDS_PAUSE_MS;
    let latest_ms = (span.as_millis() as u64).saturating_sub(span_ms + SPAN_MAX_MS);
    if latest_ms <= LEAD_MS {
        return Vec::new();
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let at_ms = LEAD_MS + rng.next_u64() % (latest_ms - LEAD_MS);
    let herds = (1..=HERDS_LEN).map(|index| ScheduledFault {
        at_ms: Millis::new(at_ms + index * HERDS_PAUSE_MS),
        span_ms: Millis::ZERO,
        fault: Fault::DaemonsKilled,
    });
    let failing = ScheduledFault {
        at_ms: Millis::new(at_ms),
        span_ms: Millis::new(span_ms),
        fault: Fault::UpstreamsFail,
    };
    herds.chain([failing]).collect()
}

/// All upstreams misbehave for a time, in which daemons are paused, killed and stopped.
fn schedule_misbehavior(seed: u64, span: Duration) -> Vec<ScheduledFault> {
    let latest_ms = (span.as_millis() as u64).saturating_sub(MISBEHAVIOR_MS + SPAN_MAX_MS);
    if latest_ms <= LEAD_MS {
        return Vec::new();
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let at_ms = LEAD_MS + rng.next_u64() % (latest_ms - LEAD_MS);
    let misbehavior = ScheduledFault {
        at_ms: Millis::new(at_ms),
        span_ms: Millis::new(MISBEHAVIOR_MS),
        fault: Fault::UpstreamsMisbehave(Misbehavior::Drawn(seed)),
    };
    let disturbed = (0..DISTURBED_LEN).map(|_| {
        let index = rng.next_u64() as usize % 1_000;
        let faults = [
            Fault::DaemonPause(index),
            Fault::DaemonPause(index),
            Fault::DaemonKill(index),
            Fault::DaemonTerminate(index),
        ];
        ScheduledFault {
            at_ms: Millis::new(at_ms + rng.next_u64() % MISBEHAVIOR_MS),
            span_ms: Millis::new(rng.next_u64() % DISTURBED_MAX_MS),
            fault: faults[rng.next_u64() as usize % faults.len()],
        }
    });
    disturbed.chain([misbehavior]).collect()
}

fn fault(kind: u64, index: usize) -> Fault {
    let faults = [
        Fault::DaemonKill(index),
        Fault::DaemonTerminate(index),
        Fault::DaemonTerminate(index),
        Fault::DaemonPause(index),
        Fault::DaemonReload(index),
        Fault::CallersReset(index),
        Fault::CallersSlow(index),
        Fault::StoreStalled(index),
        Fault::StoreReset(index),
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::StoreLosesAnswers,
        Fault::StoreHistoryDropped,
        Fault::UpstreamCrash(index),
        Fault::UpstreamDrain(index),
        Fault::UpstreamStalled(index),
        Fault::UpstreamResponsesStalled(index),
        Fault::UpstreamReset(index),
        Fault::UpstreamSlow(index),
        Fault::UpstreamErrors(index),
        Fault::UpstreamRejects(index),
        Fault::UpstreamTruncates(index),
        Fault::UpstreamCold(index),
        Fault::DomainDrain(index),
        Fault::KeyRotation,
        Fault::RouteChange,
    ];
    faults[kind as usize % faults.len()]
}
