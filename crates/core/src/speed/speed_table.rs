//! Learned speeds of upstreams.

use super::{decayed_mean::DecayedMean, SlowdownRatio, SpeedReport, SpeedSample, SpeedSettings};
use crate::{
    fleet::UpstreamIncarnation,
    ids::UpstreamId,
    units::{Millis, Time},
};
use std::collections::BTreeMap;

/// Samples at the expected speed that an upstream has in advance, so that a single late answer does not make it
/// count as slow.
const PRIOR_WEIGHT: f64 = 2.5;

/// Weight of recent samples from which a plain upstream is compared with others of its service.
const COMPARED_WEIGHT_MIN: f64 = 0.25;

/// Weight of this daemon's samples from which its own share of all delays is told apart.
const OWN_WEIGHT_MIN: f64 = 2.5;

/// A sample of at least this ratio is reported to peers, and all samples of an upstream that counts as slow: these
/// are few, and samples at the expected speed of other upstreams would change nothing.
const REPORTED_FROM_RATIO: f64 = 1.6;

/// Maximum number of upstreams that are remembered, and in one report.
const UPSTREAMS_MAX_LEN: usize = 4_096;
const REPORTS_MAX_LEN: usize = 64;

/// The samples of one incarnation of an upstream.
#[derive(Debug)]
struct Samples {
    started_unix_ms: u64,
    mean: DecayedMean,
}

/// Samples of all daemons, for each upstream.
#[derive(Debug)]
pub struct SpeedTable {
    settings: Option<SpeedSettings>,
    upstreams: BTreeMap<UpstreamId, Samples>,
    /// This daemon's samples at engines. If all of them are slow, the cause is this VM or the load.
    own: DecayedMean,
    unreported: BTreeMap<UpstreamId, SpeedReport>,
}

impl SpeedTable {
    /// An empty table. Without settings it learns nothing.
    pub const fn new(settings: Option<SpeedSettings>) -> Self {
        Self {
            settings,
            upstreams: BTreeMap::new(),
            own: DecayedMean::ZERO,
            unreported: BTreeMap::new(),
        }
    }

    /// Changes the settings. Without settings, all samples are dropped.
    pub fn set_settings(&mut self, settings: Option<SpeedSettings>) {
        self.settings = settings;
        if settings.is_none() {
            self.upstreams.clear();
            self.unreported.clear();
        }
    }

    /// Adds a sample that this daemon took. Returns the slowdown if the upstream has begun or ceased to count as
    /// slow with it.
    pub fn on_sample(&mut self, now: Time, sample: &SpeedSample) -> Option<SlowdownRatio> {
        let settings = self.settings?;
        let half_life_ms = settings.half_life_ms;
        let mut log = sample.log_ratio();
        if sample.is_engine {
            let common = if self.own.weight(now, half_life_ms) >= OWN_WEIGHT_MIN {
                self.own.mean(now, half_life_ms, 0.0).max(0.0)
            } else {
                0.0
            };
            self.own.add(now, half_life_ms, log, 1.0);
            log -= common;
        }
        let was = self.raw_slowdown(now, &sample.upstream.id);
        let is_reported = !sample.is_engine
            || log >= REPORTED_FROM_RATIO.ln()
            || self.counts_as_slow(was, &settings);
        self.add(now, &sample.upstream, log, 1);
        if is_reported {
            self.add_unreported(&sample.upstream, log);
        }
        let is = self.raw_slowdown(now, &sample.upstream.id);
        let changed = self.counts_as_slow(was, &settings) != self.counts_as_slow(is, &settings);
        changed.then_some(is)
    }

    /// Adds the samples that a peer reported. Implausible ones are left out, and `false` is returned.
    pub fn on_report(&mut self, now: Time, reports: &[SpeedReport]) -> bool {
        if self.settings.is_none() {
            return true;
        }
        let plausible = reports
            .iter()
            .take(REPORTS_MAX_LEN)
            .filter(|r| r.is_plausible());
        let mut taken_len = 0;
        for report in plausible {
            let log_sum = f64::from(report.log_sum);
            self.add(now, &report.upstream, log_sum, report.samples_count);
            taken_len += 1;
        }
        taken_len == reports.len()
    }

    /// Whether there are samples that peers have not been told.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// The samples to report to peers since the last call.
    pub fn take_reports(&mut self) -> Vec<SpeedReport> {
        let reports = std::mem::take(&mut self.unreported);
        reports.into_values().take(REPORTS_MAX_LEN).collect()
    }

    /// How much slower an engine is than its profile; none if it does not count as slow.
    pub fn engine_slowdown(&self, now: Time, upstream: &UpstreamId) -> SlowdownRatio {
        let slowdown = self.raw_slowdown(now, upstream);
        match &self.settings {
            Some(settings) if self.counts_as_slow(slowdown, settings) => slowdown,
            _ => SlowdownRatio::NONE,
        }
    }

    /// How much slower a plain upstream is than the median of its service's upstreams.
    pub fn plain_slowdown<'a>(
        &self,
        now: Time,
        upstream: &UpstreamId,
        service: impl Iterator<Item = &'a UpstreamId>,
    ) -> SlowdownRatio {
        let Some(settings) = &self.settings else {
            return SlowdownRatio::NONE;
        };
        let half_life_ms = settings.half_life_ms;
        let mut logs: Vec<_> = service
            .filter_map(|id| self.compared_log(now, id, half_life_ms))
            .collect();
        logs.sort_by(f64::total_cmp);
        let median = logs.get(logs.len().saturating_sub(1) / 2);
        let own = self.compared_log(now, upstream, half_life_ms);
        let (Some(median), Some(own)) = (median, own) else {
            return SlowdownRatio::NONE;
        };
        let slowdown = SlowdownRatio::from_log(own - median);
        if self.counts_as_slow(slowdown, settings) {
            slowdown
        } else {
            SlowdownRatio::NONE
        }
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
        self.unreported.remove(upstream);
    }

    fn counts_as_slow(&self, slowdown: SlowdownRatio, settings: &SpeedSettings) -> bool {
        slowdown.get() * 100.0 >= settings.slow_from_percent as f64
    }

    fn raw_slowdown(&self, now: Time, upstream: &UpstreamId) -> SlowdownRatio {
        let (Some(settings), Some(samples)) = (&self.settings, self.upstreams.get(upstream)) else {
            return SlowdownRatio::NONE;
        };
        let mean = samples.mean.mean(now, settings.half_life_ms, PRIOR_WEIGHT);
        SlowdownRatio::from_log(mean)
    }

    /// Mean of a plain upstream's samples, if there are recent ones.
    fn compared_log(&self, now: Time, upstream: &UpstreamId, half_life_ms: Millis) -> Option<f64> {
        let samples = self.upstreams.get(upstream)?;
        let is_recent = samples.mean.weight(now, half_life_ms) >= COMPARED_WEIGHT_MIN;
        is_recent.then(|| samples.mean.mean(now, half_life_ms, 0.0))
    }

    fn add(&mut self, now: Time, upstream: &UpstreamIncarnation, log_sum: f64, count: u16) {
        let Some(settings) = self.settings else {
            return;
        };
        let is_known = self.upstreams.contains_key(&upstream.id);
        if !is_known && self.upstreams.len() >= UPSTREAMS_MAX_LEN {
            return;
        }
        let samples = self
            .upstreams
            .entry(upstream.id.clone())
            .or_insert_with(|| Samples::new(upstream));
        if samples.started_unix_ms < upstream.started_unix_ms {
            *samples = Samples::new(upstream);
        }
        if samples.started_unix_ms == upstream.started_unix_ms {
            let half_life_ms = settings.half_life_ms;
            samples
                .mean
                .add(now, half_life_ms, log_sum, f64::from(count));
        }
    }

    fn add_unreported(&mut self, upstream: &UpstreamIncarnation, log: f64) {
        let report = self
            .unreported
            .entry(upstream.id.clone())
            .or_insert_with(|| SpeedReport {
                upstream: upstream.clone(),
                log_sum: 0.0,
                samples_count: 0,
            });
        if report.upstream == *upstream {
            report.log_sum += log as f32;
            report.samples_count = report.samples_count.saturating_add(1);
        }
    }
}

impl Samples {
    const fn new(upstream: &UpstreamIncarnation) -> Self {
        Self {
            started_unix_ms: upstream.started_unix_ms,
            mean: DecayedMean::ZERO,
        }
    }
}
