//! Load generator: concurrent callers that each send one request after the other.

use super::client::{complete_tokens, post, read_response, try_send_request, STREAM};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
};

/// Counts of the responses that callers received.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ResponseCounts {
    pub(crate) complete_count: u64,
    /// Number of refusals by code and outcome.
    pub(crate) refused: BTreeMap<String, u64>,
    /// Responses that ended without a finish marker or an error event.
    pub(crate) truncated: Vec<String>,
}

impl ResponseCounts {
    fn add(&mut self, answer: &str) {
        let expected: Vec<_> = (0..10).map(|n| format!("t{n}")).collect();
        match (complete_tokens(answer) == Some(expected), refusal(answer)) {
            (true, _) => self.complete_count += 1,
            (false, Some(code)) => *self.refused.entry(code).or_default() += 1,
            (false, None) => self.truncated.push(answer.to_owned()),
        }
    }

    fn join(mut self, other: Self) -> Self {
        self.complete_count += other.complete_count;
        for (code, count) in other.refused {
            *self.refused.entry(code).or_default() += count;
        }
        self.truncated.extend(other.truncated);
        self
    }
}

fn refusal(answer: &str) -> Option<String> {
    let start = answer.find("{\"error\":")?;
    let line = answer[start..].lines().next()?;
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let error = &value["error"];
    Some(format!(
        "{} {}",
        error["code"].as_str()?,
        error["outcome"].as_str()?
    ))
}

/// Callers behind a simulated load balancer; `targets` are the daemons that accept connections.
pub(crate) struct LoadGenerator {
    pub(crate) targets: Arc<Mutex<Vec<SocketAddr>>>,
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<ResponseCounts>>,
}

impl LoadGenerator {
    pub(crate) fn start(targets: &[SocketAddr], callers_count: usize) -> Self {
        let targets = Arc::new(Mutex::new(targets.to_vec()));
        let stopped = Arc::new(AtomicBool::new(false));
        let caller = |index| {
            let (targets, stopped) = (Arc::clone(&targets), Arc::clone(&stopped));
            thread::spawn(move || call(index, &targets, &stopped))
        };
        let callers = (0..callers_count).map(caller).collect();
        Self {
            targets,
            stopped,
            callers,
        }
    }

    /// Stops the load and returns the counts of all callers together.
    pub(crate) fn stop(self) -> ResponseCounts {
        self.stopped.store(true, Ordering::Relaxed);
        let counts_by_caller = self
            .callers
            .into_iter()
            .map(|caller| caller.join().unwrap());
        counts_by_caller.fold(ResponseCounts::default(), ResponseCounts::join)
    }
}

fn call(
    mut index: usize,
    targets: &Mutex<Vec<SocketAddr>>,
    stopped: &AtomicBool,
) -> ResponseCounts {
    let mut counts = ResponseCounts::default();
    while !stopped.load(Ordering::Relaxed) {
        index += 1;
        let target = {
            let targets = targets.lock().unwrap();
            targets[index % targets.len()]
        };
        // If the connection fails, nothing was sent, and the next request goes to another target.
        if let Ok(reader) = try_send_request(target, &post("/v1/completions", "", STREAM)) {
            counts.add(&read_response(reader));
        }
    }
    counts
}
