//! Runs scripts.

use super::{
    report::Report,
    statement::{RequestOptions, Setup, Statement},
    words::Words,
    ScriptError,
};
use crate::{Defects, DomainSpec, Fleet, FleetSpec};
use persimmon_core::{
    daemon::ComponentSettings,
    ids::{PlanId, RequestId, WorkspaceId},
    platform::CallToken,
    units::{Millis, Time},
};
use std::collections::BTreeMap;

/// Time before a script's time 0, in which the daemons discover each other.
const SETTLE_MS: Millis = Millis::new(10_000);
/// The only workspace.
const WORKSPACE: &str = "w";
/// Size of the range of request ids that each name gets: the maximum number of requests of a load.
const IDS_PER_NAME_COUNT: u128 = 1_000_000;

/// The request ids of a name: one, or those of a load.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdRange {
    pub(super) first: u128,
    pub(super) count: u128,
}

/// A load that is being sent.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) name: String,
    pub(super) next_at: Time,
    pub(super) until: Time,
    pub(super) gap: Millis,
    pub(super) options: RequestOptions,
}

/// A script that is being run.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) fleet: Fleet,
    pub(super) start: Time,
    pub(super) workspace: WorkspaceId,
    pub(super) names: BTreeMap<String, IdRange>,
    pub(super) loads: Vec<Load>,
    pub(super) plans: BTreeMap<String, CallToken>,
    pub(super) confirms: BTreeMap<String, CallToken>,
    pub(super) failures: Vec<String>,
}

/// Runs a script and reports how requests ended and which expectations failed.
pub fn run_script(text: &str) -> Report {
    run(text).unwrap_or_else(|(line, error)| Report::script_error(line, &error))
}

type LineError = (usize, ScriptError);

fn run(text: &str) -> Result<Report, LineError> {
    let lines = text
        .lines()
        .enumerate()
        .map(|(n, line)| (n + 1, Words::from_line(line)));
    let mut lines = lines.filter_map(|(n, mut words)| (!words.is_empty()).then_some((n, words)));
    let mut spec = FleetSpec {
        seed: 1,
        domains: Vec::new(),
        workspaces: WORKSPACE.parse().into_iter().collect(),
        components: ComponentSettings::default(),
        defects: Defects::new(),
    };
    let mut first = None;
    for (number, mut words) in lines.by_ref() {
        if words.take_if("at") {
            first = Some((number, words));
            break;
        }
        apply_setup(&mut spec, &mut words).map_err(|error| (number, error))?;
    }
    let mut runner = Runner::new(spec).map_err(|error| (1, error))?;
    if let Some((number, mut words)) = first {
        runner
            .run_line(number, &mut words)
            .map_err(|error| (number, error))?;
    }
    for (number, mut words) in lines {
        let result = words
            .expect_word("at")
            .and_then(|()| runner.run_line(number, &mut words));
        result.map_err(|error| (number, error))?;
    }
    Ok(Report::from_runner(&runner))
}

fn apply_setup(spec: &mut FleetSpec, words: &mut Words) -> Result<(), ScriptError> {
    match Setup::parse(words)? {
        Setup::Seed(seed) => spec.seed = seed,
        Setup::Defect(defect) => {
            spec.defects.insert(defect);
        }
        Setup::Domain(domain) => spec.domains.push(domain),
    }
    words.expect_end()
}

impl Runner {
    fn new(mut spec: FleetSpec) -> Result<Self, ScriptError> {
        if spec.domains.is_empty() {
            spec.domains.push(DomainSpec {
                name: "a"
                    .parse()
                    .map_err(|_| ScriptError::Missing { what: "domain" })?,
                vms_count: 2,
                engines_count: 3,
                servers_count: 2,
            });
        }
        let workspace = spec.workspaces.first().cloned();
        let workspace = workspace.ok_or(ScriptError::Missing { what: "workspace" })?;
        let mut fleet = spec.build().map_err(|error| ScriptError::Fleet {
            reason: error.to_string(),
        })?;
        fleet.run_for(SETTLE_MS);
        Ok(Self {
            start: fleet.now,
            fleet,
            workspace,
            names: BTreeMap::new(),
            loads: Vec::new(),
            plans: BTreeMap::new(),
            confirms: BTreeMap::new(),
            failures: Vec::new(),
        })
    }

    /// Runs the fleet up to the line's time, then executes the line's statement.
    fn run_line(&mut self, number: usize, words: &mut Words) -> Result<(), ScriptError> {
        let at = self.start + words.duration()?;
        self.run_until(at);
        let statement = Statement::parse(words)?;
        words.expect_end()?;
        match statement {
            Statement::Expect(mut expected) => {
                let text = self.expect(&mut expected)?;
                expected.expect_end()?;
                if let Some(text) = text {
                    let since = self.fleet.now.since(self.start);
                    self.failures
                        .push(format!("line {number}, {since}: {text}"));
                }
                Ok(())
            }
            statement => self.execute(statement),
        }
    }

    /// Runs the fleet up to a time and sends the loads' requests when they are due.
    fn run_until(&mut self, until: Time) {
        loop {
            let due = self.loads.iter().map(|load| load.next_at).min();
            let Some(at) = due.filter(|at| *at <= until) else {
                break;
            };
            self.fleet.run_until(at);
            self.send_due_loads(at);
        }
        self.fleet.run_until(until);
    }

    fn send_due_loads(&mut self, now: Time) {
        for mut load in std::mem::take(&mut self.loads) {
            if load.next_at <= now {
                self.send_load_request(&load);
                load.next_at = now + load.gap;
            }
            if load.next_at < load.until {
                self.loads.push(load);
            }
        }
    }

    fn send_load_request(&mut self, load: &Load) {
        let ready = self.fleet.vms.iter();
        let ready = ready.filter(|(_, vm)| vm.is_ready && vm.is_up() && !vm.is_paused);
        let ready: Vec<_> = ready.map(|(vm, _)| vm.clone()).collect();
        let Some(ids) = self.names.get_mut(&load.name) else {
            return;
        };
        let number = ids.first + ids.count;
        if let Some(vm) = ready.get(ids.count as usize % ready.len().max(1)) {
            ids.count += 1;
            let mut options = load.options.clone();
            if options.is_service_call && options.key.is_none() {
                options.key = Some(format!("{}-{number}", load.name));
            }
            if let Ok(spec) = self.spec(number, &options) {
                self.fleet.request(vm, spec);
            }
        }
    }

    /// Allocates a range of request ids for a new name and returns the first id.
    pub(super) fn allocate_ids(&mut self, name: &str, count: u128) -> u128 {
        let first = (self.names.len() as u128 + 1) * IDS_PER_NAME_COUNT;
        self.names.insert(name.to_owned(), IdRange { first, count });
        first
    }

    /// Returns the request ids of a name.
    pub(super) fn request_ids(&self, name: &str) -> Result<Vec<RequestId>, ScriptError> {
        let ids = self.names.get(name).ok_or_else(|| ScriptError::Unknown {
            what: "request or load",
            name: name.to_owned(),
        })?;
        let numbers = ids.first..ids.first + ids.count;
        Ok(numbers.map(RequestId::new).collect())
    }

    /// Returns the id of the plan that an operator got.
    pub(super) fn plan_id(&self, name: &str) -> Result<PlanId, ScriptError> {
        use persimmon_core::operator::OperatorReply;
        let reply = self
            .plans
            .get(name)
            .and_then(|call| self.fleet.replies.get(call));
        match reply {
            Some(OperatorReply::Plan(plan)) => Ok(plan.id.clone()),
            _ => Err(ScriptError::Unknown {
                what: "plan",
                name: name.to_owned(),
            }),
        }
    }
}
