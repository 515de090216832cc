//! An owner loads and unloads models on its engines as the configuration requires.

#[path = "common/virtual_cluster.rs"]
mod virtual_cluster;

use persimmon_core::{
    config::{Configuration, PlacementRule},
    ids::{FencingNumber, UpstreamId},
    ownership::OwnershipChange,
    placement::{Placement, PlacementSettings},
    request::UpstreamError,
    units::{Millis, Time},
    upstream::{LoadReport, Order},
    Action, Context, View,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use virtual_cluster::{id, small_config, Cluster};

/// One owner's placement, driven step by step by the test.
struct Owner {
    cluster: Cluster,
    config: Arc<Configuration>,
    placement: Placement,
    now: Time,
    last_token: u64,
}

impl Owner {
    fn new(config: Configuration) -> Self {
        Self {
            cluster: Cluster::new(&["a"], 1),
            config: Arc::new(config),
            placement: Placement::new(PlacementSettings::default()),
            now: Time::from_ms(1_000),
            last_token: 0,
        }
    }

    /// Runs one input and returns the orders that it causes.
    fn run(
        &mut self,
        input: impl FnOnce(&mut Placement, &mut Context<'_>, &View<'_>),
    ) -> Vec<Order> {
        let mut actions = Vec::new();
        let mut ctx = Context {
            now: self.now,
            rng: &mut ChaCha8Rng::seed_from_u64(3),
            actions: &mut actions,
            last_token: &mut self.last_token,
        };
        let node = self.cluster.node("a-00");
        let directory = virtual_cluster::ClusterDirectory(&node.membership, &node.ownership);
        let view = View {
            me: &node.me,
            config: &self.config,
            directory: &directory,
        };
        input(&mut self.placement, &mut ctx, &view);
        let orders = actions.into_iter().filter_map(|action| match action {
            Action::Order(order) => Some(*order),
            _ => None,
        });
        orders.collect()
    }

    fn gain(&mut self, fencing: u64) -> Vec<Order> {
        let change = OwnershipChange::Gained {
            upstream: id("a-u0"),
            fencing: FencingNumber::new(fencing),
            learning_until: self.now,
        };
        self.run(|placement, ctx, view| placement.on_ownership(ctx, view, &change))
    }

    fn report(&mut self, models: &[&str]) -> Vec<Order> {
        let models = models.iter().map(|model| (id(model), BTreeSet::new()));
        let report = LoadReport {
            models: models.collect::<BTreeMap<_, _>>(),
            ..LoadReport::default()
        };
        let upstream: UpstreamId = id("a-u0");
        self.run(|placement, ctx, view| placement.on_load(ctx, view, &upstream, &report))
    }

    fn answer(&mut self, order: &Order, answer: Result<(), UpstreamError>) -> Vec<Order> {
        let (upstream, token) = (order.upstream.clone(), order.token);
        self.run(|placement, ctx, view| placement.on_order(ctx, view, &upstream, token, answer))
    }

    fn wait(&mut self, span_ms: u64) -> Vec<Order> {
        self.now = self.now + Millis::new(span_ms);
        self.run(|placement, ctx, view| placement.on_tick(ctx, view))
    }
}

fn kinds(orders: &[Order]) -> String {
    let text = orders
        .iter()
        .map(|order| format!("{} {:?}", order.fencing, order.kind));
    text.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_missing_model_is_loaded_once_and_again_if_the_engine_loses_it() {
    let mut owner = Owner::new(small_config());
    assert!(
        owner.gain(7).is_empty(),
        "no report of the engine has been received yet"
    );
    let load = owner.report(&[]);
    insta::assert_snapshot!(kinds(&load), @"7 LoadModel { model: m@1, weights_bytes: 1000 }");
    assert!(owner.report(&[]).is_empty());
    assert!(owner.answer(&load[0], Ok(())).is_empty());
    owner.now = owner.now + Millis::new(500);
    assert!(owner.report(&["m@1"]).is_empty());
    owner.now = owner.now + Millis::new(500);
    assert_eq!(owner.report(&[]).len(), 1, "the engine lost its model");
}

#[test]
fn a_failed_load_is_retried_but_a_fenced_one_is_not() {
    let mut owner = Owner::new(small_config());
    owner.gain(7);
    let load = owner.report(&[]);
    assert!(owner
        .answer(&load[0], Err(UpstreamError::Timeout))
        .is_empty());
    let again = owner.wait(1_100);
    assert_eq!(again.len(), 1);
    assert!(owner
        .answer(&again[0], Err(UpstreamError::Fenced))
        .is_empty());
    assert!(owner.wait(3_000).is_empty());
    owner.gain(9);
    insta::assert_snapshot!(kinds(&owner.report(&[])), @"9 LoadModel { model: m@1, weights_bytes: 1000 }");
}

#[test]
fn an_old_version_is_unloaded_after_the_new_one_is_loaded() {
    let mut config = small_config();
    config.placement = vec![PlacementRule {
        model: id("m@2"),
        workspaces: BTreeSet::new(),
        domains: BTreeSet::new(),
    }];
    let mut owner = Owner::new(config);
    owner.gain(7);
    let load = owner.report(&["m@1"]);
    insta::assert_snapshot!(kinds(&load), @"7 LoadModel { model: m@2, weights_bytes: 1000 }");
    assert!(owner.answer(&load[0], Ok(())).is_empty());
    owner.now = owner.now + Millis::new(500);
    insta::assert_snapshot!(kinds(&owner.report(&["m@1", "m@2"])), @"7 UnloadModel { model: m@1 }");
}
