//! One owned engine: what it holds and the order under way.

use crate::{
    ids::{AdapterName, FencingNumber, Incarnation, ModelVersion},
    platform::CallToken,
    units::Time,
    upstream::{LoadReport, OrderKind},
};
use std::collections::{BTreeMap, BTreeSet};

/// One owned engine.
#[derive(Debug)]
pub(super) struct Site {
    pub(super) fencing: FencingNumber,
    /// The last report, once there is one.
    pub(super) report: Option<Report>,
    /// The order under way.
    pub(super) order: Option<(CallToken, OrderKind, Time)>,
    pub(super) failures_count: u32,
    pub(super) not_before: Time,
    /// Whether it refused this fencing number.
    pub(super) fenced: bool,
}

/// What an engine holds.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) incarnation: Incarnation,
    pub(super) taken: Time,
    pub(super) models: BTreeMap<ModelVersion, BTreeSet<AdapterName>>,
    pub(super) loading: BTreeSet<ModelVersion>,
}

impl Site {
    pub(super) fn new(fencing: FencingNumber) -> Self {
        Self {
            fencing,
            report: None,
            order: None,
            failures_count: 0,
            not_before: Time::START,
            fenced: false,
        }
    }

    /// Takes a load report unless it is older than what is known.
    pub(super) fn take(&mut self, now: Time, report: &LoadReport) {
        let taken = now - report.age_ms;
        if let Some(known) = &self.report {
            if known.taken > taken {
                return;
            }
            if known.incarnation != report.incarnation {
                self.failures_count = 0;
                self.not_before = Time::START;
            }
        }
        self.report = Some(Report {
            incarnation: report.incarnation,
            taken,
            models: report.models.clone(),
            loading: report.loading.clone(),
        });
    }

    /// Whether weights are being loaded, as far as known.
    pub(super) fn is_loading(&self) -> bool {
        let ordered = matches!(self.order, Some((_, OrderKind::LoadModel { .. }, _)));
        let reported = self.report.as_ref().is_some_and(|r| !r.loading.is_empty());
        ordered || reported
    }

    /// Whether it holds a version.
    pub(super) fn holds(&self, model: &ModelVersion) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.models.contains_key(model))
    }
}
