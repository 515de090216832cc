//! Retry budgets: limit the retries of each service or model to a share of its successful requests,
//! so that retries do not multiply the load on failing upstreams.

use super::EntrySettings;
use std::collections::BTreeMap;

/// Cost of one retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// Remaining retries of each service or model, in hundredths of a retry.
#[derive(Debug)]
pub(super) struct RetryBudget {
    percent: u32,
    cap: u32,
    left: BTreeMap<String, u32>,
}

impl RetryBudget {
    pub(super) const fn new(settings: &EntrySettings) -> Self {
        Self {
            percent: settings.retry_budget_percent,
            cap: settings.retry_reserve_count * RETRY_COST,
            left: BTreeMap::new(),
        }
    }

    /// Adds the share of a retry that one success earns.
    pub(super) fn on_success(&mut self, service: &str) {
        let (percent, cap) = (self.percent, self.cap);
        let left = self.left_mut(service);
        *left = (*left + percent).min(cap);
    }

    /// Takes one retry. Returns false if none is left.
    pub(super) fn take(&mut self, service: &str) -> bool {
        let left = self.left_mut(service);
        let allowed = *left >= RETRY_COST;
        if allowed {
            *left -= RETRY_COST;
        }
        allowed
    }

    /// Removes the services for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.left.retain(|service, _| keep(service));
    }

    fn left_mut(&mut self, service: &str) -> &mut u32 {
        if !self.left.contains_key(service) {
            self.left.insert(service.to_owned(), self.cap);
        }
        self.left.entry(service.to_owned()).or_default()
    }
}
