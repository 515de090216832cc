//! One attempt at an upstream, which runs on its own thread.

use crate::upstream::{ServiceCall, StreamCall, StreamItem, UpstreamClient};
use flume::Sender;
use persimmon_core::{
    ids::AttemptId,
    request::{AttemptPlan, StoredResult, UpstreamError},
};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// A message from an attempt's thread to its request's thread.
#[derive(Debug)]
pub(super) struct AttemptMessage {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// What the upstream sent, or how the attempt failed.
    pub(super) item: Result<Item, UpstreamError>,
}

/// Part of an upstream's answer.
#[derive(Debug)]
pub(super) enum Item {
    /// An item of a model stream.
    Stream(StreamItem),
    /// The complete answer of a plain service.
    ServiceResult(StoredResult),
}

/// The call that an attempt makes.
#[derive(Clone, Debug)]
pub(super) enum Call {
    /// A model call.
    Stream(Box<StreamCall>),
    /// A plain service call.
    Service(Box<ServiceCall>),
}

/// A running attempt. Dropping it makes its thread stop reading.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) attempt: AttemptId,
    pub(super) deadline: Instant,
    stopped: Arc<AtomicBool>,
}

impl RunningAttempt {
    /// Starts an attempt. Its thread ends after its last message, or once the attempt is dropped or
    /// the receiver of its messages is gone.
    pub(super) fn start(
        plan: &AttemptPlan,
        call: Call,
        upstream: Arc<dyn UpstreamClient>,
        messages: Sender<AttemptMessage>,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let running = Self {
            attempt: plan.attempt,
            deadline: Instant::now() + plan.remaining_ms.duration().min(REMAINING_MAX),
            stopped: Arc::clone(&stopped),
        };
        let attempt = plan.attempt;
        let run = move || match call {
            Call::Stream(call) => read_stream(attempt, &call, &*upstream, &messages, &stopped),
            Call::Service(call) => {
                let item = upstream.call_service(&call).map(Item::ServiceResult);
                // An error means that the request's thread has ended.
                let _ = messages.send(AttemptMessage { attempt, item });
            }
        };
        thread::spawn(run);
        running
    }
}

/// Upper limit of the time to an attempt's deadline.
const REMAINING_MAX: Duration = Duration::from_secs(24 * 3600);

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn read_stream(
    attempt: AttemptId,
    call: &StreamCall,
    upstream: &dyn UpstreamClient,
    messages: &Sender<AttemptMessage>,
    stopped: &AtomicBool,
) {
    let send = |item| messages.send(AttemptMessage { attempt, item }).is_ok();
    let mut stream = match upstream.open_stream(call) {
        Ok(stream) => stream,
        Err(error) => {
            send(Err(error));
            return;
        }
    };
    while !stopped.load(Ordering::Relaxed) {
        let item = stream.next_item();
        let is_last = item.is_err();
        if !send(item.map(Item::Stream)) || is_last {
            return;
        }
    }
}
