//! Properties of configuration and ownership under random crashes, pauses, partitions, network
//! faults, store outages and lost answers.

#[path = "common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    config::ChangeRecord,
    ids::{Generation, PlanId, VmId},
    operator::{Intent, OperatorCommand, OperatorReply},
    platform::CallToken,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::collections::{BTreeMap, BTreeSet};
use virtual_cluster::{id, small_config, Cluster};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Time within which daemons that can reach each other apply an accepted change.
const PROPAGATION_MS: u64 = 2_000;

#[derive(Clone, Debug)]
enum Step {
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Partition(usize),
    Heal,
    StoreDown(bool),
    LoseAnswers(u32),
    Network {
        loss: u32,
        duplicated: u32,
        delay_ms: u64,
    },
    Plan {
        vm: usize,
        domain: usize,
        restore: bool,
    },
    Confirm {
        vm: usize,
        plan: usize,
    },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..9usize).prop_map(Step::Crash),
        2 => (0..9usize).prop_map(Step::Pause),
        2 => (0..9usize).prop_map(Step::Resume),
        3 => (0..9usize).prop_map(Step::Restart),
        1 => (0..3usize).prop_map(Step::Partition),
        2 => Just(Step::Heal),
        2 => any::<bool>().prop_map(Step::StoreDown),
        2 => (1..4u32).prop_map(Step::LoseAnswers),
        2 => (0..30u32, 0..30u32, 1..300u64)
            .prop_map(|(loss, duplicated, delay_ms)| Step::Network { loss, duplicated, delay_ms }),
        4 => (0..9usize, 0..3usize, any::<bool>())
            .prop_map(|(vm, domain, restore)| Step::Plan { vm, domain, restore }),
        6 => (0..9usize, 0..8usize).prop_map(|(vm, plan)| Step::Confirm { vm, plan }),
        8 => (20..3_000u64).prop_map(Step::Wait),
    ]
}

struct Run {
    cluster: Cluster,
    vms: Vec<String>,
    calls: BTreeSet<CallToken>,
    confirms: BTreeMap<CallToken, PlanId>,
    unix_ms: u64,
}

impl Run {
    fn new() -> Self {
        let mut cluster = Cluster::new(&DOMAINS, 3);
        cluster.run(1_500);
        let vms = cluster.nodes.keys().map(VmId::to_string).collect();
        let mut run = Self {
            cluster,
            vms,
            calls: BTreeSet::new(),
            confirms: BTreeMap::new(),
            unix_ms: 1_000,
        };
        let intent = Intent::Replace(Box::new(small_config()));
        run.send(
            "a-00",
            OperatorCommand::Plan {
                intent,
                force: false,
            },
        );
        run.cluster.run(200);
        let plan = run.plans()[0].clone();
        run.confirm("a-00", plan);
        run.cluster.run(1_500);
        run
    }

    fn send(&mut self, vm: &str, command: OperatorCommand) -> CallToken {
        let call = self.cluster.send_command(vm, command, self.unix_ms);
        self.calls.insert(call);
        call
    }

    fn confirm(&mut self, vm: &str, plan: PlanId) {
        let call = self.send(vm, OperatorCommand::Confirm(plan.clone()));
        self.confirms.insert(call, plan);
    }

    fn plans(&self) -> Vec<PlanId> {
        let replies = self.cluster.replies.iter();
        let plans = replies.filter_map(|(_, reply)| match reply {
            OperatorReply::Plan(plan) => Some(plan.id.clone()),
            _ => None,
        });
        plans.collect()
    }

    fn apply(&mut self, step: &Step) {
        let vm = |n: &usize| self.vms[*n].clone();
        match step {
            Step::Crash(n) | Step::Pause(n) => self.cluster.node_mut(&vm(n)).up = false,
            Step::Resume(n) if !self.cluster.node(&vm(n)).up => self.cluster.resume(&vm(n)),
            Step::Resume(_) => {}
            Step::Restart(n) => self.cluster.restart(&vm(n)),
            Step::Partition(n) => {
                for other in DOMAINS.iter().filter(|other| **other != DOMAINS[*n]) {
                    self.cluster.partitions.insert((id(DOMAINS[*n]), id(other)));
                }
            }
            Step::Heal => self.cluster.partitions.clear(),
            Step::StoreDown(down) => self.cluster.store_down = *down,
            Step::LoseAnswers(count) => self.cluster.lost_answers_count = *count,
            Step::Network {
                loss,
                duplicated,
                delay_ms,
            } => {
                self.cluster.loss_percent = *loss;
                self.cluster.duplicate_percent = *duplicated;
                self.cluster.delay_ms = *delay_ms;
            }
            Step::Plan {
                vm: n,
                domain,
                restore,
            } if self.cluster.node(&vm(n)).up => {
                let domain = id(DOMAINS[*domain]);
                let intent = match restore {
                    true => Intent::ReturnDomain(domain),
                    false => Intent::DrainDomain(domain),
                };
                self.send(
                    &vm(n),
                    OperatorCommand::Plan {
                        intent,
                        force: true,
                    },
                );
            }
            Step::Confirm { vm: n, plan } if self.cluster.node(&vm(n)).up => {
                let plans = self.plans();
                let plan = plans[plans.len().saturating_sub(1 + plan % plans.len())].clone();
                self.confirm(&vm(n), plan);
            }
            Step::Plan { .. } | Step::Confirm { .. } => {}
            Step::Wait(span_ms) => {
                self.cluster.run(*span_ms);
                self.unix_ms += span_ms;
            }
        }
    }

    /// Ends all faults and resumes all stopped daemons.
    fn heal(&mut self) {
        self.cluster.partitions.clear();
        self.cluster.store_down = false;
        self.cluster.lost_answers_count = 0;
        self.cluster.loss_percent = 0;
        self.cluster.duplicate_percent = 0;
        self.cluster.delay_ms = virtual_cluster::LATENCY_MS;
        for vm in self.vms.clone() {
            if !self.cluster.node(&vm).up {
                self.cluster.resume(&vm);
            }
        }
    }

    fn records(&self) -> Vec<ChangeRecord> {
        let rows = self.cluster.table.iter();
        let rows = rows.filter(|(key, _)| key.starts_with("config/gen/"));
        rows.map(|(_, raw)| serde_json::from_slice(raw).unwrap())
            .collect()
    }

    /// Checks that accepted plans and generations correspond one to one, and that all replies
    /// agree.
    fn check_plans(&self) {
        let records = self.records();
        let numbers: Vec<u64> = records.iter().map(|r| r.generation.get()).collect();
        assert_eq!(numbers, (1..=records.len() as u64).collect::<Vec<_>>());
        let generation_of: BTreeMap<&PlanId, Generation> =
            records.iter().map(|r| (&r.plan, r.generation)).collect();
        assert_eq!(
            generation_of.len(),
            records.len(),
            "a plan produced two generations"
        );
        for (call, reply) in &self.cluster.replies {
            if let OperatorReply::Confirmed(report) = reply {
                assert_eq!(
                    generation_of.get(&self.confirms[call]),
                    Some(&report.generation)
                );
            }
        }
    }

    /// Checks that all daemons apply the newest generation; a daemon that is behind would still
    /// grant work in a drained domain.
    fn check_converged(&self) {
        let head = self.records().last().unwrap().generation;
        for node in self.cluster.nodes.values() {
            let config = node.config.current();
            assert_eq!(config.generation, head, "{} is behind", node.me.vm);
        }
    }

    /// Checks that each upstream has exactly one owner.
    fn check_owners(&self) {
        let mut owners = BTreeMap::<_, Vec<_>>::new();
        for node in self.cluster.nodes.values() {
            for upstream in node.owned.keys() {
                owners.entry(upstream).or_default().push(&node.me.vm);
            }
        }
        assert_eq!(owners.len(), 9);
        assert!(
            owners.values().all(|owners| owners.len() == 1),
            "{owners:?}"
        );
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn changes_apply_once_and_owners_are_unique(steps in prop::collection::vec(step(), 10..50)) {
        let mut run = Run::new();
        for step in &steps {
            run.apply(step);
            run.check_plans();
        }
        run.heal();
        run.cluster.run(12_000);
        run.check_plans();
        run.check_converged();
        run.check_owners();
        let before = run.records().len();
        run.apply(&Step::Plan { vm: 4, domain: 0, restore: false });
        run.cluster.run(200);
        let plan = run.plans().pop().unwrap();
        run.confirm("b-01", plan);
        run.cluster.run(PROPAGATION_MS);
        run.check_plans();
        run.check_converged();
        prop_assert_eq!(run.records().len(), before + 1);
    }
}
