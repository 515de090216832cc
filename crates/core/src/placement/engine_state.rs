//! State of one owned engine: its last report and its pending order.

use crate::{
    ids::{AdapterName, FencingNumber, Incarnation, ModelVersion},
    platform::CallToken,
    units::Time,
    upstream::{LoadReport, OrderKind},
};
use std::collections::{BTreeMap, BTreeSet};

/// State of one owned engine.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) fencing: FencingNumber,
    /// The last load report, if one has been received.
    pub(super) report: Option<Report>,
    /// The pending order with its token and the time it was sent.
    pub(super) pending_order: Option<(CallToken, OrderKind, Time)>,
    pub(super) failures_count: u32,
    pub(super) retry_at: Time,
    /// Whether the engine refused this fencing number. No further orders are sent then.
    pub(super) fenced: bool,
}

/// Models on an engine, as last reported.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) incarnation: Incarnation,
    pub(super) reported_at: Time,
    pub(super) models: BTreeMap<ModelVersion, BTreeSet<AdapterName>>,
    pub(super) loading: BTreeSet<ModelVersion>,
}

impl EngineState {
    pub(super) fn new(fencing: FencingNumber) -> Self {
        Self {
            fencing,
            report: None,
            pending_order: None,
            failures_count: 0,
            retry_at: Time::START,
            fenced: false,
        }
    }

    /// Stores a load report, unless it is older than the stored one. A new incarnation resets the
    /// backoff, because the failures belong to the previous process.
    pub(super) fn on_report(&mut self, now: Time, report: &LoadReport) {
        let reported_at = now - report.age_ms;
        if let Some(last) = &self.report {
            if last.reported_at > reported_at {
                return;
            }
            if last.incarnation != report.incarnation {
                self.failures_count = 0;
                self.retry_at = Time::START;
            }
        }
        self.report = Some(Report {
            incarnation: report.incarnation,
            reported_at,
            models: report.models.clone(),
            loading: report.loading.clone(),
        });
    }

    /// Whether a load of weights was ordered or reported.
    pub(super) fn is_loading(&self) -> bool {
        let ordered = matches!(
            self.pending_order,
            Some((_, OrderKind::LoadModel { .. }, _))
        );
        let reported = self.report.as_ref().is_some_and(|r| !r.loading.is_empty());
        ordered || reported
    }

    /// Whether the engine reported a model version as loaded.
    pub(super) fn has_loaded(&self, model: &ModelVersion) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.models.contains_key(model))
    }
}
