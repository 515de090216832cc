//! The models on the engines that this daemon owns.

use super::{site::Site, PlacementSettings};
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

/// The models on the engines that this daemon owns, brought to what the configuration wants.
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    sites: BTreeMap<UpstreamId, Site>,
    ticked: Time,
}

impl Placement {
    /// Owns no engine yet.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            sites: BTreeMap::new(),
            ticked: Time::START,
        }
    }

    /// The configuration changed.
    pub fn on_config(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.step(ctx, view);
    }

    /// Ownership changed: a new number begins anew, whatever was under way.
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
                self.sites.insert(upstream.clone(), Site::new(*fencing));
            }
            OwnershipChange::Lost { upstream } => {
                self.sites.remove(upstream);
            }
        }
        self.step(ctx, view);
    }

    /// An engine reported what it holds.
    pub fn on_load(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        report: &LoadReport,
    ) {
        if let Some(site) = self.sites.get_mut(upstream) {
            site.take(ctx.now, report);
        }
        self.step(ctx, view);
    }

    /// An engine answered an order.
    pub fn on_order(
        &mut self,
        ctx: &mut Context<'_>,
        view: &View<'_>,
        upstream: &UpstreamId,
        token: CallToken,
        answer: Result<(), UpstreamError>,
    ) {
        let settings = &self.settings;
        let Some(site) = self.sites.get_mut(upstream) else {
            return;
        };
        let Some((_, kind, _)) = site.order.take_if(|(asked, _, _)| *asked == token) else {
            return;
        };
        match answer {
            Ok(()) => {
                site.failures_count = 0;
                note_done(ctx.now, site, &kind);
            }
            Err(error) => {
                site.fenced |= error == UpstreamError::Fenced;
                back_off(ctx, settings, site);
            }
        }
        self.step(ctx, view);
    }

    /// Retries what is due.
    pub fn on_tick(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        self.ticked = ctx.now;
        let settings = &self.settings;
        for site in self.sites.values_mut() {
            let late = |since: &Time| *since + settings.order_timeout() <= ctx.now;
            if site.order.as_ref().is_some_and(|(_, _, since)| late(since)) {
                site.order = None;
                back_off(ctx, settings, site);
            }
        }
        self.step(ctx, view);
    }

    /// When `on_tick` is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let due = |site: &Site| match &site.order {
            Some((_, _, since)) => Some(*since + self.settings.order_timeout()),
            None => (site.not_before > self.ticked && !site.fenced).then_some(site.not_before),
        };
        self.sites.values().filter_map(due).min()
    }

    /// Gives every idle engine its next order.
    fn step(&mut self, ctx: &mut Context<'_>, view: &View<'_>) {
        let ids: Vec<_> = self.sites.keys().cloned().collect();
        for id in ids {
            let Some((kind, reason)) = self.next_order(ctx.now, view.config, &id) else {
                continue;
            };
            let address = view.config.upstreams.get(&id).map(|config| config.address);
            let (Some(site), Some(address)) = (self.sites.get_mut(&id), address) else {
                continue;
            };
            let token = ctx.token(Component::Placement);
            log(ctx, &id, &kind, reason);
            site.order = Some((token, kind.clone(), ctx.now));
            ctx.act(Action::Order(Box::new(Order {
                token,
                upstream: id,
                address,
                fencing: site.fencing,
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
        let site = self.sites.get(id)?;
        let upstream = config.upstreams.get(id)?;
        let report = site.report.as_ref()?;
        let old = report.taken + self.settings.report_age() <= now;
        let idle = site.order.is_none() && !site.fenced && site.not_before <= now && !old;
        if !idle || !matches!(upstream.kind, UpstreamKind::Engine(_)) {
            return None;
        }
        let wanted = config.versions_in(&upstream.domain);
        let missing = wanted.iter().find(|model| {
            !report.models.contains_key(**model) && !report.loading.contains(**model)
        });
        if let Some(model) = missing {
            let loading = self.sites.values().filter(|site| site.is_loading()).count();
            let make = config.models.get(*model)?;
            let kind = OrderKind::LoadModel {
                model: (*model).clone(),
                weights_bytes: make.weights_bytes,
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
        let excess = report.models.keys().find(|model| !wanted.contains(model))?;
        let replaced = wanted
            .iter()
            .all(|model| report.models.contains_key(*model));
        let kind = OrderKind::UnloadModel {
            model: excess.clone(),
        };
        (replaced && !wanted.is_empty()).then_some((kind, "all wanted versions are loaded"))
    }

    /// Owned engines that hold a version.
    pub fn holders(&self, model: &ModelVersion) -> usize {
        self.sites.values().filter(|site| site.holds(model)).count()
    }
}

/// Takes a finished order over into what is known, until the next report.
fn note_done(now: Time, site: &mut Site, kind: &OrderKind) {
    let Some(report) = &mut site.report else {
        return;
    };
    report.taken = now;
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

fn back_off(ctx: &mut Context<'_>, settings: &PlacementSettings, site: &mut Site) {
    site.failures_count = site.failures_count.saturating_add(1);
    let doubled = settings.backoff().get() << site.failures_count.min(10);
    let most_ms = doubled.min(settings.backoff_max().get());
    let gap_ms = ctx.rng.random_range(most_ms / 2..=most_ms);
    site.not_before = ctx.now + Millis::new(gap_ms);
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
