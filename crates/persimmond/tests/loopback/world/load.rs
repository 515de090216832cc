//! Callers that send one request after the other.

use super::client::{post, rest, tokens, try_send, STREAM};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
};

/// What callers got.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub(crate) whole_count: u64,
    /// Refusals by code and outcome.
    pub(crate) refused: BTreeMap<String, u64>,
    /// Answers that ended without a finish marker or an error event.
    pub(crate) cut: Vec<String>,
}

impl Tally {
    fn add(&mut self, answer: &str) {
        let expected: Vec<_> = (0..10).map(|n| format!("t{n}")).collect();
        match (tokens(answer) == Some(expected), refusal(answer)) {
            (true, _) => self.whole_count += 1,
            (false, Some(code)) => *self.refused.entry(code).or_default() += 1,
            (false, None) => self.cut.push(answer.to_owned()),
        }
    }

    fn join(mut self, other: Self) -> Self {
        self.whole_count += other.whole_count;
        for (code, count) in other.refused {
            *self.refused.entry(code).or_default() += count;
        }
        self.cut.extend(other.cut);
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

/// Callers behind a balancer, which knows the daemons that take connections.
pub(crate) struct Load {
    pub(crate) targets: Arc<Mutex<Vec<SocketAddr>>>,
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Tally>>,
}

impl Load {
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

    /// Ends the load and gives what all callers got.
    pub(crate) fn stop(self) -> Tally {
        self.stopped.store(true, Ordering::Relaxed);
        let tallies = self
            .callers
            .into_iter()
            .map(|caller| caller.join().unwrap());
        tallies.fold(Tally::default(), Tally::join)
    }
}

fn call(mut index: usize, targets: &Mutex<Vec<SocketAddr>>, stopped: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    while !stopped.load(Ordering::Relaxed) {
        index += 1;
        let target = {
            let targets = targets.lock().unwrap();
            targets[index % targets.len()]
        };
        // A connection that is refused goes elsewhere: nothing was sent.
        if let Ok(reader) = try_send(target, &post("/v1/completions", "", STREAM)) {
            tally.add(&rest(reader));
        }
    }
    tally
}
