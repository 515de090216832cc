//! A few threads for calls that block.

use flume::{Receiver, Sender, TrySendError};
use std::{fmt, thread};

/// Calls that may wait for a thread.
const QUEUE_MAX_LEN: usize = 1024;

type Job = Box<dyn FnOnce() + Send>;

/// A few threads for calls that block. They end once the pool is dropped and its queue is empty.
pub(crate) struct Pool {
    jobs: Sender<Job>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("waiting", &self.jobs.len())
            .finish()
    }
}

impl Pool {
    /// Starts `threads_count` threads.
    pub(crate) fn start(threads_count: usize) -> Self {
        let (sender, receiver) = flume::bounded(QUEUE_MAX_LEN);
        for _ in 0..threads_count {
            let receiver: Receiver<Job> = receiver.clone();
            thread::spawn(move || receiver.into_iter().for_each(|job| job()));
        }
        Self { jobs: sender }
    }

    /// Runs `job` on a thread of the pool. False, without running it, where too many wait.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        match self.jobs.try_send(Box::new(job)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}
