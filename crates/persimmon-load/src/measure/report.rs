//! Summary of a run.

use super::{DurationHistogram, Percentiles, ResourceUsage};
use crate::caller::{CallResult, Sample};
use persimmon_core::request::{LengthClass, Outcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// p99 lateness above which the load generator doesn't keep up with the schedule.
const MAX_P99_LATENESS_MS: f64 = 20.0;

/// Summary of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunReport {
    /// Requests sent.
    pub requests_count: usize,
    /// Complete responses with the expected content.
    pub whole_requests: usize,
    /// Refusals with outcome `not_run`.
    pub refused_not_run_requests: usize,
    /// Refusals with outcome `unknown`.
    pub refused_unknown_requests: usize,
    /// Streams that ended with an error after at least one token.
    pub cut_off_requests: usize,
    /// Requests without a complete response or a valid refusal.
    pub lost_requests: usize,
    /// Responses with wrong content.
    pub wrong_requests: usize,
    /// Number of requests by reason of failure.
    pub ends: BTreeMap<String, usize>,
    /// Complete responses per second, from the start of the run to the last arrival.
    pub whole_per_s: f64,
    /// Model calls by length class of the prompt.
    pub classes: BTreeMap<LengthClass, ClassReport>,
    /// Calls of plain services.
    pub services: ClassReport,
    /// Time from when a request was due until its refusal.
    pub refusal: Percentiles,
    /// Delay from when a request was due until it was sent.
    pub late: Percentiles,
    /// Whether the load generator sent its requests on schedule.
    pub keeps_up: bool,
    /// Resource usage during the run.
    pub system: ResourceUsage,
}

/// Results of one class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    /// Requests sent.
    pub requests_count: usize,
    /// Complete responses with the expected content.
    pub whole_requests: usize,
    /// Time from when a request was due to its first token, over complete responses.
    pub first_token: Percentiles,
}

impl ClassReport {
    fn new<'a>(samples: impl Iterator<Item = &'a Sample> + Clone) -> Self {
        let whole = samples.clone().filter(|sample| sample.is_whole());
        let first_tokens: DurationHistogram =
            whole.clone().filter_map(|s| s.first_token_ms).collect();
        Self {
            requests_count: samples.count(),
            whole_requests: whole.count(),
            first_token: first_tokens.report(),
        }
    }
}

impl RunReport {
    /// Summary of a run.
    pub fn new(samples: &[Sample], system: ResourceUsage) -> Self {
        let count =
            |matches: fn(&CallResult) -> bool| samples.iter().filter(|s| matches(&s.end)).count();
        let classes = LengthClass::ALL.iter().map(|class| {
            let of_class = samples.iter().filter(|s| s.class == Some(*class));
            (*class, ClassReport::new(of_class))
        });
        let refused = samples
            .iter()
            .filter(|s| matches!(s.end, CallResult::Refused(..)));
        let refusals: DurationHistogram = refused.map(|sample| sample.end_ms).collect();
        let late: DurationHistogram = samples.iter().map(|sample| sample.late_ms).collect();
        let late = late.report();
        let whole_requests = count(|end| *end == CallResult::Whole);
        let last_arrival_ms = samples.last().map_or(0.0, |sample| sample.at_ms);
        Self {
            requests_count: samples.len(),
            whole_requests,
            refused_not_run_requests: count(|e| {
                matches!(e, CallResult::Refused(_, Outcome::NotRun))
            }),
            refused_unknown_requests: count(|e| {
                matches!(e, CallResult::Refused(_, Outcome::Unknown))
            }),
            cut_off_requests: count(|end| matches!(end, CallResult::CutOff(..))),
            lost_requests: count(|end| matches!(end, CallResult::Lost(_))),
            wrong_requests: count(|end| matches!(end, CallResult::Wrong(_))),
            ends: count_failures(samples),
            whole_per_s: whole_requests as f64 * 1e3 / last_arrival_ms.max(1.0),
            classes: classes.collect(),
            services: ClassReport::new(samples.iter().filter(|s| s.class.is_none())),
            refusal: refusals.report(),
            keeps_up: late
                .p99_ms
                .is_none_or(|late_ms| late_ms <= MAX_P99_LATENESS_MS),
            late,
            system,
        }
    }

    /// Formats the summary as a few lines of text.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} requests, {} whole, {} refused not_run, {} refused unknown, {} cut off, {} lost, \
             {} wrong; {:.1} whole/s; {:.1} of {} cores by this process, {:.1} by all{}\n",
            self.requests_count,
            self.whole_requests,
            self.refused_not_run_requests,
            self.refused_unknown_requests,
            self.cut_off_requests,
            self.lost_requests,
            self.wrong_requests,
            self.whole_per_s,
            self.system.own_cores_count,
            self.system.cores_count,
            self.system.busy_cores_count,
            if self.keeps_up {
                ""
            } else {
                "; THE LOAD GENERATOR DID NOT KEEP UP WITH THE SCHEDULE"
            },
        );
        let classes = self.classes.iter().map(|(class, r)| (class.to_string(), r));
        for (name, class) in classes.chain([("services".to_owned(), &self.services)]) {
            text.push_str(&percentile_line(
                &name,
                class.requests_count,
                &class.first_token,
            ));
        }
        let refused_count = self.refused_not_run_requests + self.refused_unknown_requests;
        text.push_str(&percentile_line("refusal", refused_count, &self.refusal));
        text.push_str(&percentile_line("late", self.requests_count, &self.late));
        text
    }
}

fn percentile_line(name: &str, requests_count: usize, percentiles: &Percentiles) -> String {
    let ms = |duration_ms: Option<f64>| duration_ms.map_or("-".to_owned(), |ms| format!("{ms:.1}"));
    format!(
        "{name:>9} {requests_count:>7}  p50 {:>9}  p95 {:>9}  p99 {:>9}  max {:>9} ms\n",
        ms(percentiles.p50_ms),
        ms(percentiles.p95_ms),
        ms(percentiles.p99_ms),
        ms(percentiles.max_ms),
    )
}

fn count_failures(samples: &[Sample]) -> BTreeMap<String, usize> {
    let mut failures = BTreeMap::new();
    for sample in samples {
        let label = match &sample.end {
            CallResult::Whole => continue,
            CallResult::Refused(code, outcome) => format!("refused {code} {outcome}"),
            CallResult::CutOff(code, outcome) => format!("cut off {code} {outcome}"),
            CallResult::Wrong(reason) => format!("wrong: {reason}"),
            CallResult::Lost(reason) => format!("lost: {reason}"),
        };
        *failures.entry(label).or_default() += 1;
    }
    failures
}
