//! Statistics of a simulation run.

use super::{Outcome, RequestRecord};
use persimmon_core::request::LengthClass;

/// The percentile of sorted values; NaN if there are none.
pub(crate) fn percentile(sorted: &[f64], percent: usize) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    sorted[(sorted.len() * percent / 100).min(sorted.len() - 1)]
}

/// Outcomes and times to first token of a set of requests.
#[derive(Clone, Debug)]
pub(crate) struct Statistics {
    pub(crate) requests_count: usize,
    pub(crate) complete_count: usize,
    pub(crate) refused_count: usize,
    pub(crate) failed_count: usize,
    first_token_ms: Vec<f64>,
}

impl Statistics {
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a RequestRecord>) -> Self {
        let mut statistics = Self {
            requests_count: 0,
            complete_count: 0,
            refused_count: 0,
            failed_count: 0,
            first_token_ms: Vec::new(),
        };
        for record in records {
            statistics.requests_count += 1;
            match record.outcome {
                Outcome::Complete => statistics.complete_count += 1,
                Outcome::Refused => statistics.refused_count += 1,
                Outcome::Failed | Outcome::Pending => statistics.failed_count += 1,
            }
            statistics.first_token_ms.extend(record.first_token_ms());
        }
        statistics.first_token_ms.sort_by(f64::total_cmp);
        statistics
    }

    pub(crate) fn of_classes(records: &[RequestRecord], classes: &[LengthClass]) -> Self {
        Self::of(
            records
                .iter()
                .filter(|record| classes.contains(&record.class())),
        )
    }

    pub(crate) fn first_token_ms(&self, percent: usize) -> f64 {
        percentile(&self.first_token_ms, percent)
    }

    pub(crate) fn complete_percent(&self) -> f64 {
        100.0 * self.complete_count as f64 / self.requests_count.max(1) as f64
    }
}
