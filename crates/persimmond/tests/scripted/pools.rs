//! Calls beyond what the pools hold are answered at once, the others when their turn comes.

use crate::common::{fake_dependencies, settings, PATIENCE};
use flume::{Receiver, Sender};
use persimmon_core::{
    operator::StatusReport,
    platform::{CallToken, Component, ObjectOp, PlatformError, TableAnswer, TableOp, VmRecord},
    units::Time,
    Action, Event,
};
use persimmon_io::platform::PlatformClient;
use persimmond::{ControlCore, Daemon};
use std::{collections::BTreeSet, sync::Arc};

/// Calls of the test: more than the pool's queue and threads take.
const CALLS_COUNT: u64 = 2000;

/// Most calls that the pool's queue and threads take.
const TAKEN_MAX_COUNT: usize = 1024 + 4;

/// Makes all calls at its first tick and passes the answers on.
struct Caller {
    has_called: bool,
    answers: Sender<(CallToken, Result<TableAnswer, PlatformError>)>,
}

impl ControlCore for Caller {
    fn handle(&mut self, _now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick if !self.has_called => {
                self.has_called = true;
                actions.extend((0..CALLS_COUNT).map(|number| Action::Table {
                    token: CallToken::new(Component::Config, number),
                    op: TableOp::Get { key: "k".into() },
                }));
            }
            Event::Platform { token, answer } => self.answers.send((token, answer)).unwrap(),
            Event::Shutdown => actions.push(Action::Exit),
            _ => {}
        }
    }

    fn next_wakeup(&self) -> Option<Time> {
        None
    }

    fn status(&self) -> Option<StatusReport> {
        None
    }
}

/// A platform whose answers wait for the test.
#[derive(Debug)]
struct Gate(Receiver<()>);

impl PlatformClient for Gate {
    fn table(&self, _: &TableOp) -> Result<TableAnswer, PlatformError> {
        // The test opens the gate by dropping its sender.
        let _ = self.0.recv();
        Ok(TableAnswer::Done)
    }

    fn object(&self, _: &ObjectOp) -> Result<TableAnswer, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

#[test]
fn each_call_is_answered_once() {
    let (answers, answered) = flume::unbounded();
    let (gate, waiting) = flume::bounded::<()>(0);
    let mut dependencies = fake_dependencies(Box::new(move |_| {
        Box::new(Caller {
            has_called: false,
            answers,
        })
    }));
    dependencies.platform = Arc::new(Gate(waiting));
    let daemon = Daemon::start(settings(), dependencies).unwrap();
    let refused_count = CALLS_COUNT as usize - TAKEN_MAX_COUNT;
    let mut tokens = BTreeSet::new();
    for _ in 0..refused_count {
        let (token, answer) = answered.recv_timeout(PATIENCE).unwrap();
        assert_eq!(answer, Err(PlatformError::Unavailable));
        assert!(tokens.insert(token));
    }
    drop(gate);
    while tokens.len() < CALLS_COUNT as usize {
        let (token, _) = answered.recv_timeout(PATIENCE).unwrap();
        assert!(tokens.insert(token), "answered twice");
    }
    daemon.stop();
    assert!(daemon.join());
}
