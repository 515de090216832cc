//! Names, kinds and units of all metrics.

use metrics::Unit;

/// What a metric does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// Counts up.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts values by size.
    Histogram,
}

/// One metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// What it does.
    pub kind: MetricKind,
    /// Its unit.
    pub unit: Unit,
    /// What it tells.
    pub help: &'static str,
}

const fn counter(name: &'static str, unit: Unit, help: &'static str) -> Metric {
    Metric {
        name,
        kind: MetricKind::Counter,
        unit,
        help,
    }
}

const fn gauge(name: &'static str, unit: Unit, help: &'static str) -> Metric {
    Metric {
        name,
        kind: MetricKind::Gauge,
        unit,
        help,
    }
}

const fn histogram(name: &'static str, help: &'static str) -> Metric {
    Metric {
        name,
        kind: MetricKind::Histogram,
        unit: Unit::Seconds,
        help,
    }
}

impl Metric {
    /// Requests that ended.
    pub const REQUESTS: Self = counter(
        "persimmon_requests_total",
        Unit::Count,
        "Requests that ended, by outcome and class of length",
    );
    /// Refusals.
    pub const REFUSALS: Self = counter(
        "persimmon_refusals_total",
        Unit::Count,
        "Requests that the core refused, by code",
    );
    /// Time to first token.
    pub const FIRST_TOKEN: Self = histogram(
        "persimmon_first_token_seconds",
        "Time from a request's arrival to its first token, by class of length",
    );
    /// Attempts at upstreams.
    pub const ATTEMPTS: Self = counter(
        "persimmon_attempts_total",
        Unit::Count,
        "Attempts sent to upstreams, by class of length",
    );
    /// Open requests.
    pub const OPEN_REQUESTS: Self = gauge(
        "persimmon_open_requests",
        Unit::Count,
        "Requests that wait for their last word",
    );
    /// How far the oldest request is over its deadline.
    pub const OLDEST_OVERDUE: Self = gauge(
        "persimmon_oldest_overdue_seconds",
        Unit::Seconds,
        "Time that the oldest open request is over its deadline",
    );
    /// Transmissions that ended without a whole answer.
    pub const SENDS_FAILED: Self = counter(
        "persimmon_sends_failed_total",
        Unit::Count,
        "Transmissions to upstreams without a whole answer, by how they ended and what followed",
    );
    /// Requests that wait for a place.
    pub const WAITING_REQUESTS: Self = gauge(
        "persimmon_waiting_requests",
        Unit::Count,
        "Requests that wait for a place at an upstream",
    );
    /// How wrong predictions are.
    pub const FIRST_EVENT_ERROR: Self = histogram(
        "persimmon_first_event_error_seconds",
        "Distance between the predicted and the seen first event, by class",
    );
    /// Answers of this daemon as an owner.
    pub const GRANTS: Self = counter(
        "persimmon_grants_total",
        Unit::Count,
        "Answers to requests for grants, as the owner, by answer",
    );
    /// Generation in force.
    pub const GENERATION: Self = gauge(
        "persimmon_generation",
        Unit::Count,
        "Generation of the configuration in force here",
    );
    /// Live members.
    pub const MEMBERS: Self = gauge(
        "persimmon_members",
        Unit::Count,
        "Daemons that are thought alive, this one included",
    );
    /// Calls of the platform.
    pub const STORE_CALLS: Self = counter(
        "persimmon_store_calls_total",
        Unit::Count,
        "Calls of the platform, by service and result",
    );
    /// How late the control thread is.
    pub const EVENT_LOOP_DELAY: Self = histogram(
        "persimmon_event_loop_delay_seconds",
        "Time by which a timer of the control thread ran late",
    );
    /// How long the core takes.
    pub const EVENT_HANDLING: Self = histogram(
        "persimmon_event_handling_seconds",
        "Time that the core took for one event",
    );
    /// Bytes to and from peers.
    pub const PEER_BYTES: Self = gauge(
        "persimmon_peer_bytes",
        Unit::Bytes,
        "UDP payload over the open connections to peers, by direction",
    );
}

/// All metrics.
pub const CATALOG: [Metric; 16] = [
    Metric::REQUESTS,
    Metric::REFUSALS,
    Metric::FIRST_TOKEN,
    Metric::ATTEMPTS,
    Metric::OPEN_REQUESTS,
    Metric::OLDEST_OVERDUE,
    Metric::SENDS_FAILED,
    Metric::WAITING_REQUESTS,
    Metric::FIRST_EVENT_ERROR,
    Metric::GRANTS,
    Metric::GENERATION,
    Metric::MEMBERS,
    Metric::STORE_CALLS,
    Metric::EVENT_LOOP_DELAY,
    Metric::EVENT_HANDLING,
    Metric::PEER_BYTES,
];
