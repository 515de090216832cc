//! Calls that exceed the capacity of a thread pool fail at once; queued calls are answered later.

use crate::common::{fake_dependencies, settings, TEST_TIMEOUT};
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

/// Number of calls made by the test; exceeds the capacity of the pool.
const CALLS_COUNT: u64 = 2000;

/// Capacity of the pool: queue length plus number of threads.
const POOL_CAPACITY: usize = 1024 + 4;

/// Core that makes all calls at its first tick and forwards the answers to the test.
struct PlatformCaller {
    has_called: bool,
    answers: Sender<(CallToken, Result<TableAnswer, PlatformError>)>,
}

impl ControlCore for PlatformCaller {
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

/// Platform whose calls block until the test releases them.
#[derive(Debug)]
struct BlockingPlatform(Receiver<()>);

impl PlatformClient for BlockingPlatform {
    fn table(&self, _: &TableOp) -> Result<TableAnswer, PlatformError> {
        // Returns once the test drops the sender.
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
fn each_platform_call_is_answered_once() {
    let (answers, answered) = flume::unbounded();
    let (release, released) = flume::bounded::<()>(0);
    let mut dependencies = fake_dependencies(Box::new(move |_| {
        Box::new(PlatformCaller {
            has_called: false,
            answers,
        })
    }));
    dependencies.platform = Arc::new(BlockingPlatform(released));
    let daemon = Daemon::start(settings(), dependencies).unwrap();
    let refused_count = CALLS_COUNT as usize - POOL_CAPACITY;
    let mut tokens = BTreeSet::new();
    for _ in 0..refused_count {
        let (token, answer) = answered.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(answer, Err(PlatformError::Unavailable));
        assert!(tokens.insert(token));
    }
    drop(release);
    while tokens.len() < CALLS_COUNT as usize {
        let (token, _) = answered.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(tokens.insert(token), "answered twice");
    }
    daemon.stop();
    assert!(daemon.join());
}
