//! Figures of a run.

use super::{Asked, Fate};
use persimmon_core::request::LengthClass;

/// The value below which `percent` of the sorted values lie.
pub(crate) fn percentile(sorted: &[f64], percent: usize) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    sorted[(sorted.len() * percent / 100).min(sorted.len() - 1)]
}

/// What became of a set of requests.
#[derive(Clone, Debug)]
pub(crate) struct Figures {
    pub(crate) asked_count: usize,
    pub(crate) good_count: usize,
    pub(crate) refused_count: usize,
    pub(crate) failed_count: usize,
    first_token_ms: Vec<f64>,
}

impl Figures {
    pub(crate) fn of<'a>(asked: impl Iterator<Item = &'a Asked>) -> Self {
        let mut figures = Self {
            asked_count: 0,
            good_count: 0,
            refused_count: 0,
            failed_count: 0,
            first_token_ms: Vec::new(),
        };
        for one in asked {
            figures.asked_count += 1;
            match one.fate {
                Fate::Good => figures.good_count += 1,
                Fate::Refused => figures.refused_count += 1,
                Fate::Failed | Fate::Open => figures.failed_count += 1,
            }
            figures.first_token_ms.extend(one.first_token_ms());
        }
        figures.first_token_ms.sort_by(f64::total_cmp);
        figures
    }

    pub(crate) fn of_classes(asked: &[Asked], classes: &[LengthClass]) -> Self {
        Self::of(asked.iter().filter(|one| classes.contains(&one.class())))
    }

    pub(crate) fn first_token_ms(&self, percent: usize) -> f64 {
        percentile(&self.first_token_ms, percent)
    }

    pub(crate) fn good_percent(&self) -> f64 {
        100.0 * self.good_count as f64 / self.asked_count.max(1) as f64
    }
}
