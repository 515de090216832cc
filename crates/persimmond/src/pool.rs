//! Thread pool for blocking calls.

use flume::{Receiver, Sender, TrySendError};
use std::{fmt, thread};

/// Maximum number of jobs that wait for a thread.
const JOB_QUEUE_MAX_LEN: usize = 1024;

type Job = Box<dyn FnOnce() + Send>;

/// Thread pool for blocking calls. Its threads end once the pool is dropped and the queue is empty.
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
        let (sender, receiver) = flume::bounded(JOB_QUEUE_MAX_LEN);
        for _ in 0..threads_count {
            let receiver: Receiver<Job> = receiver.clone();
            thread::spawn(move || receiver.into_iter().for_each(|job| job()));
        }
        Self { jobs: sender }
    }

    /// Queues `job` for a thread of the pool. Returns false and drops the job if the queue is full.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        match self.jobs.try_send(Box::new(job)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}
