//! One attempt at an upstream, on a thread of its own.

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

/// What an attempt's thread tells its request's thread.
#[derive(Debug)]
pub(super) struct News {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// What came.
    pub(super) item: Result<Item, UpstreamError>,
}

/// What came from an upstream.
#[derive(Debug)]
pub(super) enum Item {
    /// An item of a model stream.
    Stream(StreamItem),
    /// The answer of a plain service.
    Served(StoredResult),
}

/// What an attempt sends.
#[derive(Clone, Debug)]
pub(super) enum Call {
    /// A model call.
    Stream(Box<StreamCall>),
    /// A plain service call.
    Service(Box<ServiceCall>),
}

/// An attempt that runs.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) attempt: AttemptId,
    pub(super) deadline: Instant,
    stopped: Arc<AtomicBool>,
}

impl Running {
    /// Starts an attempt. Its thread ends after its last news, or once nobody wants them.
    pub(super) fn start(
        plan: &AttemptPlan,
        call: Call,
        upstream: Arc<dyn UpstreamClient>,
        news: Sender<News>,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let running = Self {
            attempt: plan.attempt,
            deadline: Instant::now() + plan.remaining_ms.duration().min(LONGEST),
            stopped: Arc::clone(&stopped),
        };
        let attempt = plan.attempt;
        let run = move || match call {
            Call::Stream(call) => read_stream(attempt, &call, &*upstream, &news, &stopped),
            Call::Service(call) => {
                let item = upstream.call_service(&call).map(Item::Served);
                // The request's thread may have ended meanwhile.
                let _ = news.send(News { attempt, item });
            }
        };
        thread::spawn(run);
        running
    }
}

/// Longest wait that a deadline is taken for.
const LONGEST: Duration = Duration::from_secs(24 * 3600);

impl Drop for Running {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn read_stream(
    attempt: AttemptId,
    call: &StreamCall,
    upstream: &dyn UpstreamClient,
    news: &Sender<News>,
    stopped: &AtomicBool,
) {
    let tell = |item| news.send(News { attempt, item }).is_ok();
    let mut stream = match upstream.open_stream(call) {
        Ok(stream) => stream,
        Err(error) => {
            tell(Err(error));
            return;
        }
    };
    while !stopped.load(Ordering::Relaxed) {
        let item = stream.next_item();
        let is_last = item.is_err();
        if !tell(item.map(Item::Stream)) || is_last {
            return;
        }
    }
}
