//! A bounded pool of threads that makes the calls of an open loop.

use super::{Balancer, Caller, CallerSettings, Sample};
use crate::{
    workload::{Arrival, Prompts},
    LoadError,
};
use flume::{Receiver, Sender};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Stack of a calling thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Time between two progress lines.
const PROGRESS: Duration = Duration::from_secs(10);

/// What a run needs beside its arrivals.
#[derive(Clone, Copy, Debug)]
pub struct RunSettings<'a> {
    /// What callers have in common.
    pub caller: &'a CallerSettings,
    /// Chooses the daemons.
    pub balancer: &'a Balancer,
    /// Makes the prompts.
    pub prompts: &'a Prompts,
    /// Most calls at a time; more arrive late, and the result says so.
    pub threads_count: u32,
}

/// Makes the calls of `arrivals`, each when it is due, and waits for all ends.
///
/// # Errors
///
/// A thread can't be started.
pub fn run(
    settings: &RunSettings<'_>,
    start: Instant,
    arrivals: &[Arrival],
) -> Result<Vec<Sample>, LoadError> {
    let (due, todo) = flume::unbounded();
    let (done, samples) = flume::unbounded();
    thread::scope(|scope| {
        for _ in 0..settings.threads_count {
            let (todo, done) = (todo.clone(), done.clone());
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            builder.spawn_scoped(scope, move || work(settings, start, &todo, &done))?;
        }
        drop(done);
        dispatch(start, arrivals, &due, &samples);
        drop(due);
        let mut samples: Vec<Sample> = samples.iter().collect();
        samples.sort_by_key(|sample| sample.number_index);
        Ok(samples)
    })
}

fn dispatch<'a>(
    start: Instant,
    arrivals: &'a [Arrival],
    due: &Sender<&'a Arrival>,
    samples: &Receiver<Sample>,
) {
    let mut printed = Instant::now();
    for (sent_count, arrival) in arrivals.iter().enumerate() {
        thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
        if due.send(arrival).is_err() {
            return;
        }
        if printed.elapsed() >= PROGRESS {
            printed = Instant::now();
            let (all_count, ended_count) = (arrivals.len(), samples.len());
            eprintln!("{sent_count} of {all_count} due, {ended_count} ended");
        }
    }
}

fn work(
    settings: &RunSettings<'_>,
    start: Instant,
    todo: &Receiver<&Arrival>,
    done: &Sender<Sample>,
) {
    let caller = Caller {
        settings: settings.caller,
        balancer: settings.balancer,
        prompts: settings.prompts,
    };
    for arrival in todo {
        let due = start + arrival.at;
        let late_ms = ms(due.elapsed());
        let (first, end) = caller.call(arrival);
        let sample = Sample {
            number_index: arrival.number_index,
            workspace: arrival.workspace.clone(),
            class: arrival.class(),
            at_ms: ms(arrival.at),
            late_ms,
            first_token_ms: first.map(|first| ms(first.saturating_duration_since(due))),
            end_ms: ms(due.elapsed()),
            end,
        };
        if done.send(sample).is_err() {
            return;
        }
    }
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
