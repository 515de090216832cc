//! Names, kinds, units and help texts of all metrics.

use metrics::Unit;

/// Kind of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// A total that only grows.
    Counter,
    /// A value that rises and falls.
    Gauge,
    /// Counts of values by bucket of their size.
    Histogram,
}

/// Description of one metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Name on the metrics page.
    pub name: &'static str,
    /// Counter, gauge or histogram.
    pub kind: MetricKind,
    /// Unit of the values.
    pub unit: Unit,
    /// Help text on the metrics page.
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
    /// Requests that have ended.
    pub const REQUESTS: Self = counter(
        "persimmon_requests_total",
        Unit::Count,
        "Requests that ended, by outcome and class of length",
    );
    /// Requests that the core refused.
    pub const REFUSALS: Self = counter(
        "persimmon_refusals_total",
        Unit::Count,
        "Requests that the core refused, by code",
    );
    /// Time from the arrival of a request to its first token.
    pub const FIRST_TOKEN: Self = histogram(
        "persimmon_first_token_seconds",
        "Time from a request's arrival to its first token, by class of length",
    );
    /// Attempts that were sent to upstreams.
    pub const ATTEMPTS: Self = counter(
        "persimmon_attempts_total",
        Unit::Count,
        "Attempts sent to upstreams, by class of length",
    );
    /// Requests that have not ended yet.
    pub const OPEN_REQUESTS: Self = gauge(
        "persimmon_open_requests",
        Unit::Count,
        "Requests that wait for their last word",
    );
    /// Time by which the open request with the earliest deadline is past it.
    pub const OLDEST_OVERDUE: Self = gauge(
        "persimmon_oldest_overdue_seconds",
        Unit::Seconds,
        "Time that the oldest open request is over its deadline",
    );
    /// Transmissions to upstreams that ended without a complete answer.
    pub const SENDS_FAILED: Self = counter(
        "persimmon_sends_failed_total",
        Unit::Count,
        "Transmissions to upstreams without a whole answer, by how they ended and what followed",
    );
    /// Failed transmissions by whether another one followed, and why not.
    pub const RETRY_DECISIONS: Self = counter(
        "persimmon_retry_decisions_total",
        Unit::Count,
        "Failed transmissions, by whether the request was sent again and why not",
    );
    /// Responses that refuse a request, by what shows whose they are.
    pub const UPSTREAM_REFUSALS: Self = counter(
        "persimmon_upstream_refusals_total",
        Unit::Count,
        "Refusals by upstreams, by what the connection had carried and which request they name",
    );
    /// Daemons by which bounds over the fleet are divided.
    pub const SHARING_DAEMONS: Self = gauge(
        "persimmon_sharing_daemons",
        Unit::Count,
        "Daemons by which this one divides bounds that hold for all of them together",
    );
    /// Requests that are queued for a free slot at an upstream.
    pub const WAITING_REQUESTS: Self = gauge(
        "persimmon_waiting_requests",
        Unit::Count,
        "Requests that wait for a place at an upstream",
    );
    /// Complete responses that missed a target.
    pub const LATE_RESPONSES: Self = counter(
        "persimmon_late_responses_total",
        Unit::Count,
        "Complete responses that missed a target, by class and by the target that they missed",
    );
    /// Absolute error of the predicted time of a request's first event.
    pub const FIRST_EVENT_ERROR: Self = histogram(
        "persimmon_first_event_error_seconds",
        "Distance between the predicted and the seen first event, by class",
    );
    /// Answers of this daemon, as the owner of an upstream, to grant requests.
    pub const GRANTS: Self = counter(
        "persimmon_grants_total",
        Unit::Count,
        "Answers to requests for grants, as the owner, by answer",
    );
    /// Generation of the configuration that is in force.
    pub const GENERATION: Self = gauge(
        "persimmon_generation",
        Unit::Count,
        "Generation of the configuration in force here",
    );
    /// Members that are considered alive, including this daemon.
    pub const MEMBERS: Self = gauge(
        "persimmon_members",
        Unit::Count,
        "Daemons that are thought alive, this one included",
    );
    /// Calls to the platform's services.
    pub const STORE_CALLS: Self = counter(
        "persimmon_store_calls_total",
        Unit::Count,
        "Calls of the platform, by service and result",
    );
    /// Restores of the store from an older copy that were noticed, by topic.
    pub const STORE_RESTORES: Self = counter(
        "persimmon_store_restores_total",
        Unit::Count,
        "Restores of the store from an older copy that this daemon noticed, by topic",
    );
    /// Reports of how current the knowledge is that answer no request of this process.
    pub const FRESHNESS_IGNORED: Self = counter(
        "persimmon_freshness_reports_ignored_total",
        Unit::Count,
        "Freshness reports of peers that answer no request of this process",
    );
    /// What upstreams said about themselves in answers.
    pub const UPSTREAM_NOTICES: Self = counter(
        "persimmon_upstream_notices_total",
        Unit::Count,
        "Upstreams that said that they leave or want no requests, by notice and who was told",
    );
    /// Upstreams whose process ended under requests of this daemon.
    pub const UPSTREAM_CRASHES: Self = counter(
        "persimmon_upstream_crashes_total",
        Unit::Count,
        "Upstreams whose process ended under requests of this daemon that had got no event",
    );
    /// Fingerprints of requests that were quarantined or cleared.
    pub const FINGERPRINTS: Self = counter(
        "persimmon_fingerprints_total",
        Unit::Count,
        "Fingerprints of requests suspected of ending upstreams, by verdict (quarantined, cleared)",
    );
    /// Tokens in the stated parts of prompts that were sent.
    pub const PREFIX_TOKENS: Self = counter(
        "persimmon_prefix_tokens_total",
        Unit::Count,
        "Tokens in the stated parts of prompts sent, by belief (held, missing at the upstream)",
    );
    /// First events that showed whether a prefix was held.
    pub const PREFIX_CHECKS: Self = counter(
        "persimmon_prefix_checks_total",
        Unit::Count,
        "First events that showed whether a prefix was held, by result (hit, miss)",
    );
    /// Tokens of prefixes that upstreams are no longer believed to hold.
    pub const PREFIX_DROPPED_TOKENS: Self = counter(
        "persimmon_prefix_dropped_tokens_total",
        Unit::Count,
        "Tokens of prefixes no longer believed held, by reason (miss, gone, broken_off)",
    );
    /// Transmissions and connections by way of peers.
    pub const RELAYED: Self = counter(
        "persimmon_relayed_total",
        Unit::Count,
        "Requests sent by way of a peer (sent), and connections for peers (passed_on, refused), by role",
    );
    /// Retry times of refused callers, and callers who return, by step.
    pub const RETURNS: Self = counter(
        "persimmon_returns_total",
        Unit::Count,
        "Refused callers by step (promised, hinted, early, on_time, refused_again)",
    );
    /// Slots that are kept for callers who return.
    pub const KEPT_SLOTS: Self = gauge(
        "persimmon_kept_slots",
        Unit::Count,
        "Slots that are kept now for callers who were promised to be served when they return",
    );
    /// Failure domains to which this daemon has lost its own links.
    pub const LOST_DOMAINS: Self = gauge(
        "persimmon_lost_domains",
        Unit::Count,
        "Failure domains to which this daemon has lost its own links",
    );
    /// Connections that this daemon passes on for peers.
    pub const RELAYED_CONNECTIONS: Self = gauge(
        "persimmon_relayed_connections",
        Unit::Count,
        "Connections to upstreams that this daemon passes on for its peers now",
    );
    /// Requests of workspaces over their share.
    pub const OVER_SHARE: Self = counter(
        "persimmon_over_share_total",
        Unit::Count,
        "Requests held back because their workspace is over its share, by next step (wait, refuse)",
    );
    /// Workspaces whose work is counted.
    pub const SHARE_HOLDERS: Self = gauge(
        "persimmon_share_holders",
        Unit::Count,
        "Workspaces whose work is counted, over all services",
    );
    /// Bytes that are held for callers, upstreams and peers.
    pub const MEMORY_HELD: Self = gauge(
        "persimmon_memory_held_bytes",
        Unit::Bytes,
        "Bytes held against the memory budget, by use (connections, relays, requests, responses)",
    );
    /// The most bytes that were held at once.
    pub const MEMORY_PEAK: Self = gauge(
        "persimmon_memory_peak_bytes",
        Unit::Bytes,
        "Most bytes that were held at once against the memory budget since the start",
    );
    /// The memory budget.
    pub const MEMORY_BUDGET: Self = gauge(
        "persimmon_memory_budget_bytes",
        Unit::Bytes,
        "The memory budget",
    );
    /// Limits of bytes in flight at upstreams that were learned.
    pub const UPSTREAM_BYTES_LIMITS: Self = counter(
        "persimmon_upstream_bytes_limits_total",
        Unit::Count,
        "Limits of bytes of requests in flight learned from upstreams that terminated, by who was told",
    );
    /// Delay by which a timer of the control thread fires late.
    pub const EVENT_LOOP_DELAY: Self = histogram(
        "persimmon_event_loop_delay_seconds",
        "Time by which a timer of the control thread ran late",
    );
    /// Time in which the core handles one event.
    pub const EVENT_HANDLING: Self = histogram(
        "persimmon_event_handling_seconds",
        "Time that the core took for one event",
    );
    /// UDP payload bytes over the open connections to peers, sent and received.
    pub const PEER_BYTES: Self = gauge(
        "persimmon_peer_bytes",
        Unit::Bytes,
        "UDP payload over the open connections to peers, by direction",
    );
}

/// All metrics of a daemon.
pub const ALL_METRICS: [Metric; 39] = [
    Metric::REQUESTS,
    Metric::REFUSALS,
    Metric::FIRST_TOKEN,
    Metric::ATTEMPTS,
    Metric::OPEN_REQUESTS,
    Metric::OLDEST_OVERDUE,
    Metric::SENDS_FAILED,
    Metric::RETRY_DECISIONS,
    Metric::UPSTREAM_REFUSALS,
    Metric::SHARING_DAEMONS,
    Metric::WAITING_REQUESTS,
    Metric::LATE_RESPONSES,
    Metric::FIRST_EVENT_ERROR,
    Metric::GRANTS,
    Metric::GENERATION,
    Metric::MEMBERS,
    Metric::STORE_CALLS,
    Metric::STORE_RESTORES,
    Metric::FRESHNESS_IGNORED,
    Metric::UPSTREAM_NOTICES,
    Metric::UPSTREAM_CRASHES,
    Metric::FINGERPRINTS,
    Metric::PREFIX_TOKENS,
    Metric::PREFIX_CHECKS,
    Metric::PREFIX_DROPPED_TOKENS,
    Metric::RELAYED,
    Metric::RETURNS,
    Metric::KEPT_SLOTS,
    Metric::LOST_DOMAINS,
    Metric::RELAYED_CONNECTIONS,
    Metric::OVER_SHARE,
    Metric::SHARE_HOLDERS,
    Metric::MEMORY_HELD,
    Metric::MEMORY_PEAK,
    Metric::MEMORY_BUDGET,
    Metric::UPSTREAM_BYTES_LIMITS,
    Metric::EVENT_LOOP_DELAY,
    Metric::EVENT_HANDLING,
    Metric::PEER_BYTES,
];
