//! A bounded thread pool that sends the requests of an open-loop run.

use super::{Caller, CallerSettings, LoadBalancer, Sample};
use crate::{
    workload::{Arrival, PromptGenerator},
    LoadError,
};
use flume::{Receiver, Sender};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Stack size of a worker thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);

/// What a run needs besides its arrivals.
#[derive(Clone, Copy, Debug)]
pub struct RunSettings<'a> {
    /// Settings that all callers share.
    pub caller: &'a CallerSettings,
    /// Selects the daemons.
    pub balancer: &'a LoadBalancer,
    /// Generates the prompts.
    pub prompt_generator: &'a PromptGenerator,
    /// Maximum number of concurrent calls. Requests beyond it are sent late, which the report
    /// shows.
    pub threads_count: u32,
}

/// Sends the request of each arrival when it is due, and waits until all calls have ended.
///
/// # Errors
///
/// A thread can't be started.
pub fn run(
    settings: &RunSettings<'_>,
    start: Instant,
    arrivals: &[Arrival],
) -> Result<Vec<Sample>, LoadError> {
    let (due_tx, due_rx) = flume::unbounded();
    let (sample_tx, sample_rx) = flume::unbounded();
    thread::scope(|scope| {
        for _ in 0..settings.threads_count {
            let (due_rx, sample_tx) = (due_rx.clone(), sample_tx.clone());
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            builder.spawn_scoped(scope, move || {
                run_worker(settings, start, &due_rx, &sample_tx)
            })?;
        }
        drop(sample_tx);
        dispatch(start, arrivals, &due_tx, &sample_rx);
        drop(due_tx);
        let mut samples: Vec<Sample> = sample_rx.iter().collect();
        samples.sort_by_key(|sample| sample.number_index);
        Ok(samples)
    })
}

fn dispatch<'a>(
    start: Instant,
    arrivals: &'a [Arrival],
    due_tx: &Sender<&'a Arrival>,
    sample_rx: &Receiver<Sample>,
) {
    let mut last_printed = Instant::now();
    for (sent_count, arrival) in arrivals.iter().enumerate() {
        thread::sleep((start + arrival.at()).saturating_duration_since(Instant::now()));
        if due_tx.send(arrival).is_err() {
            return;
        }
        if last_printed.elapsed() >= PROGRESS_INTERVAL {
            last_printed = Instant::now();
            let (all_count, completed_count) = (arrivals.len(), sample_rx.len());
            eprintln!("{sent_count} of {all_count} requests due, {completed_count} completed");
        }
    }
}

fn run_worker(
    settings: &RunSettings<'_>,
    start: Instant,
    due_rx: &Receiver<&Arrival>,
    sample_tx: &Sender<Sample>,
) {
    let caller = Caller {
        settings: settings.caller,
        balancer: settings.balancer,
        prompt_generator: settings.prompt_generator,
    };
    for arrival in due_rx {
        let due = start + arrival.at();
        let late_ms = ms(due.elapsed());
        let (first_token_at, result) = caller.call(arrival);
        let sample = Sample {
            number_index: arrival.number_index,
            workspace: arrival.workspace.clone(),
            class: arrival.class(),
            at_ms: ms(arrival.at()),
            late_ms,
            first_token_ms: first_token_at.map(|at| ms(at.saturating_duration_since(due))),
            end_ms: ms(due.elapsed()),
            end: result,
        };
        if sample_tx.send(sample).is_err() {
            return;
        }
    }
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
