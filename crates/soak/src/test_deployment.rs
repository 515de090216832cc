//! A small deployment for tests that inject chosen faults and send one request at a time.

use crate::{
    caller::{Connection, RequestSpec, ResponseSpec},
    fault::{inject, Fault, ScheduledFault},
    history::{BodyCheck, Clock, History, IndexedHistory},
    invariant::{violations, Violation},
    testbed::{Deployment, DeploymentSize, DispatchOptions, ROUTES},
    SoakError,
};
use persimmon_core::{
    catalog::CallKind,
    units::{Millis, Tokens},
};
use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tokio::{
    runtime::{Builder, Runtime},
    time::sleep,
};

/// Size of the deployment.
const SIZE: DeploymentSize = DeploymentSize {
    daemons_len: 2,
    engines_len: 3,
    servers_len: 2,
    dispatch: DispatchOptions { grace_s: 8.0 },
};

/// Deadline of the requests.
const CALLER_DEADLINE_MS: Millis = Millis::new(5_000);

/// A small deployment for tests that inject chosen faults and send one request at a time.
#[derive(Debug)]
pub struct TestDeployment {
    runtime: Runtime,
    deployment: Arc<Deployment>,
    history: History,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Id of the request.
    pub request_id: Arc<str>,
    /// Status and body check; none where the connection ended without an answer.
    pub answer: Option<(u16, BodyCheck)>,
    /// Number of runs at upstreams.
    pub runs_count: usize,
}

impl TestDeployment {
    /// Starts a deployment whose logs are in `folder`, and waits until its daemons are connected with each other.
    ///
    /// # Errors
    ///
    /// The deployment can't be started.
    pub fn start(program: &Path, folder: &Path) -> Result<Self, SoakError> {
        Self::start_with(program, folder, SIZE)
    }

    /// The same, with daemons that exit this time after they were asked to stop.
    ///
    /// # Errors
    ///
    /// The deployment can't be started.
    pub fn with_grace(program: &Path, folder: &Path, grace_s: f64) -> Result<Self, SoakError> {
        let dispatch = DispatchOptions { grace_s };
        Self::start_with(program, folder, DeploymentSize { dispatch, ..SIZE })
    }

    fn start_with(program: &Path, folder: &Path, size: DeploymentSize) -> Result<Self, SoakError> {
        let runtime = Builder::new_multi_thread().enable_all().build()?;
        let history = History::new(Clock::start());
        let deployment = runtime.block_on(async {
            let deployment = Deployment::start(size, program, folder, &history).await?;
            deployment.wait_connected().await?;
            Ok::<_, SoakError>(deployment)
        })?;
        Ok(Self {
            runtime,
            deployment: Arc::new(deployment),
            history,
        })
    }

    /// Starts to inject a fault that lasts for `span`.
    pub fn inject(&self, fault: Fault, span: Duration) {
        let scheduled = ScheduledFault {
            at_ms: Millis::ZERO,
            span_ms: Millis::new(span.as_millis() as u64),
            fault,
        };
        let (deployment, history) = (Arc::clone(&self.deployment), self.history.clone());
        self.runtime.spawn(inject(deployment, history, scheduled));
    }

    /// Blocks for `span`.
    pub fn wait(&self, span: Duration) {
        self.runtime.block_on(async { sleep(span).await });
    }

    /// Sends a request to a daemon on one of the constant routes, for an answer of `events_len`
    /// events, and waits for its end.
    pub fn send(&self, daemon: usize, route: &str, request_id: &str, events_len: u64) -> Outcome {
        let kind = ROUTES.iter().find(|(name, _)| *name == route);
        let spec = RequestSpec {
            request_id: request_id.into(),
            kind: kind.map_or(CallKind::Idempotent, |(_, kind)| *kind),
            route: route.into(),
            key: Arc::clone(&self.deployment.catalog.keys()[0]),
            deadline_ms: CALLER_DEADLINE_MS,
            prompt_tokens: Tokens::new(1_000),
            response_spec: ResponseSpec {
                events_len,
                pause_ms: Millis::new(40),
            },
            disconnect_after_ms: None,
        };
        let daemon = &self.deployment.daemons[daemon];
        self.runtime.block_on(async {
            let address = daemon.callers.address();
            if let Some(mut connection) = Connection::open(daemon.index, address).await {
                connection.send(&spec, &self.history).await;
            }
        });
        let indexed = IndexedHistory::new(self.history.clock().now(), self.history.observations());
        let request = indexed
            .requests
            .iter()
            .rfind(|request| request.request_id == spec.request_id);
        Outcome {
            request_id: spec.request_id,
            answer: request.and_then(|request| request.answer),
            runs_count: request.map_or(0, |request| request.runs.len()),
        }
    }

    /// Invariants that were violated so far.
    pub fn violations(&self) -> Vec<Violation> {
        violations(&IndexedHistory::new(
            self.history.clock().now(),
            self.history.observations(),
        ))
    }

    /// Paths of the daemons' logs.
    pub fn logs(&self) -> Vec<PathBuf> {
        let daemons = self.deployment.daemons.iter();
        daemons.map(|daemon| daemon.log.clone()).collect()
    }
}
