//! Reconciles the models on the engines that this daemon owns with the configuration.

use super::{engine_state::EngineState, PlacementSettings};
use crate::{
    config::{Configuration, UpstreamKind},
    decision::Record,
    ids::{ModelVersion, UpstreamId},
    ownership::OwnershipChange,
    platform::{CallToken, Component},
    request::UpstreamError,
    units::{Millis, Time},
    upstream::{LoadReport, Order, OrderKind},
    Action, Context, View,
};
use rand::RngExt;
use std::collections::BTreeMap;

/// Reconciles the models on owned engines with the configuration, one order per engine at a time.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    engines: BTreeMap<UpstreamId, EngineState>,
    last_tick: Time,
}

impl Placement {
    /// Creates a placement that owns no engine yet.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            last_tick: Time::START,
        }
    }

    /// Handles a change of the configuration.
    pub fn on_config(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.reconcile(ctx, view);
    }

    /// Handles a change of ownership. A new fencing number resets the engine's state, even if an
    /// order is pending.
    pub fn on_ownership(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        change: &OwnershipChange,
    ) {
        match change {
            OwnershipChange::Gained {
                upstream, fencing, ..
            } => {
                self.engines
                    .insert(upstream.clone(), EngineState::new(*fencing));
            }
            OwnershipChange::Lost { upstream } => {
                self.engines.remove(upstream);
            }
        }
        self.reconcile(ctx, view);
    }

    /// Handles an engine's load report.
    pub fn on_load(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        report: &LoadReport,
    ) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.on_report(ctx.now, report);
        }
        self.reconcile(ctx, view);
    }

    /// Handles an engine's answer to an order.
    pub fn on_order(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        token: CallToken,
        answer: Result<(), UpstreamError>,
    ) {
        let settings = &self.settings;
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let Some((_, kind, _)) = engine
            .pending_order
            .take_if(|(asked, _, _)| *asked == token)
        else {
            return;
        };
        match answer {
            Ok(()) => {
                engine.failures_count = 0;
                apply_completed_order(ctx.now, engine, &kind);
            }
            Err(error) => {
                engine.fenced |= error == UpstreamError::Fenced;
                back_off(ctx, settings, engine);
            }
        }
        self.reconcile(ctx, view);
    }

    /// Expires orders without an answer and sends the orders that are due.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.last_tick = ctx.now;
        let settings = &self.settings;
        for engine in self.engines.values_mut() {
            let timed_out = |since: &Time| *since + settings.order_timeout() <= ctx.now;
            if engine
                .pending_order
                .as_ref()
                .is_some_and(|(_, _, since)| timed_out(since))
            {
                engine.pending_order = None;
                back_off(ctx, settings, engine);
            }
        }
        self.reconcile(ctx, view);
    }

    /// Time at which [`Self::on_tick`] is due next.
    pub fn next_wakeup(&self) -> Option<Time> {
        let due = |engine: &EngineState| match &engine.pending_order {
            Some((_, _, since)) => Some(*since + self.settings.order_timeout()),
            None => (engine.retry_at > self.last_tick && !engine.fenced).then_some(engine.retry_at),
        };
        self.engines.values().filter_map(due).min()
    }

    /// Sends each idle engine its next order, if it needs one.
    fn reconcile(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let ids: Vec<_> = self.engines.keys().cloned().collect();
        for id in ids {
            let Some((kind, reason)) = self.next_order(ctx.now, view.config, &id) else {
                continue;
            };
            let address = view.config.upstreams.get(&id).map(|config| config.address);
            let (Some(engine), Some(address)) = (self.engines.get_mut(&id), address) else {
                continue;
            };
            let token = ctx.token(Component::Placement);
            log(ctx, &id, &kind, reason);
            engine.pending_order = Some((token, kind.clone(), ctx.now));
            ctx.act(Action::Order(Box::new(Order {
                token,
                upstream: id,
                address,
                fencing: engine.fencing,
                kind,
            })));
        }
    }

    fn next_order(
        &self,
        now: Time,
        config: &Configuration,
        id: &UpstreamId,
    ) -> Option<(OrderKind, &'static str)> {
        let engine = self.engines.get(id)?;
        let upstream = config.upstreams.get(id)?;
        let report = engine.report.as_ref()?;
        let stale = report.reported_at + self.settings.report_age() <= now;
        let idle =
            engine.pending_order.is_none() && !engine.fenced && engine.retry_at <= now && !stale;
        if !idle || !matches!(upstream.kind, UpstreamKind::Engine(_)) {
            return None;
        }
        let wanted = config.versions_in(&upstream.domain);
        let missing = wanted.iter().find(|model| {
            !report.models.contains_key(**model) && !report.loading.contains(**model)
        });
        if let Some(model) = missing {
            let loading = self
                .engines
                .values()
                .filter(|engine| engine.is_loading())
                .count();
            let model_config = config.models.get(*model)?;
            let kind = OrderKind::LoadModel {
                model: (*model).clone(),
                weights_bytes: model_config.weights_bytes,
            };
            let free = loading < self.settings.loads_at_once();
            return free.then_some((kind, "the configuration places it here"));
        }
        for (model, loaded) in report.models.iter().filter(|(m, _)| wanted.contains(m)) {
            let adapters = &config.models.get(model)?.adapters;
            if let Some(adapter) = adapters.iter().find(|a| !loaded.contains(*a)) {
                let kind = OrderKind::LoadAdapter {
                    model: model.clone(),
                    adapter: adapter.clone(),
                };
                return Some((kind, "the model's adapter is missing"));
            }
        }
        let unwanted = report.models.keys().find(|model| !wanted.contains(model))?;
        let replaced = wanted
            .iter()
            .all(|model| report.models.contains_key(*model));
        let kind = OrderKind::UnloadModel {
            model: unwanted.clone(),
        };
        (replaced && !wanted.is_empty()).then_some((kind, "all wanted versions are loaded"))
    }

    /// Number of owned engines that have a model version loaded.
    pub fn loaded_engines_count(&self, model: &ModelVersion) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.has_loaded(model))
            .count()
    }
}

/// Applies a completed order to the last report, so that the order is not sent again before the
/// next report arrives.
fn apply_completed_order(now: Time, engine: &mut EngineState, kind: &OrderKind) {
    let Some(report) = &mut engine.report else {
        return;
    };
    report.reported_at = now;
    match kind {
        OrderKind::LoadModel { model, .. } => {
            report.loading.insert(model.clone());
        }
        OrderKind::UnloadModel { model } => {
            report.models.remove(model);
        }
        OrderKind::LoadAdapter { model, adapter } => {
            let loaded = report.models.entry(model.clone()).or_default();
            loaded.insert(adapter.clone());
        }
        _ => {}
    }
}

fn back_off(ctx: &mut Context<'_>, settings: &PlacementSettings, engine: &mut EngineState) {
    engine.failures_count = engine.failures_count.saturating_add(1);
    let doubled = settings.backoff().get() << engine.failures_count.min(10);
    let max_ms = doubled.min(settings.backoff_max().get());
    let delay_ms = ctx.rng.random_range(max_ms / 2..=max_ms);
    engine.retry_at = ctx.now + Millis::new(delay_ms);
}

fn log(ctx: &mut Context<'_>, upstream: &UpstreamId, kind: &OrderKind, reason: &str) {
    let (model, what) = match kind {
        OrderKind::LoadModel { model, .. } => (model, "load"),
        OrderKind::UnloadModel { model } => (model, "unload"),
        OrderKind::LoadAdapter { model, .. } => (model, "load adapter"),
        _ => return,
    };
    ctx.log(Record::Placement {
        upstream: upstream.clone(),
        model: model.clone(),
        what: what.into(),
        reason: reason.into(),
    });
}
