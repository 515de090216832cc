//! Log records of the dispatcher's decisions. Variant and field names are the names in the log.

use super::{
    BudgetState, LateCause, OrderKind, OrderOutcome, RefusalReason, RelayRefusal, RetryVerdict,
    SendOutcome,
};
use crate::{
    ids::{CatalogVersion, FailureDomain, Fingerprint, SendId, ServiceName, UpstreamId, VmId},
    path::PathAttempts,
    sharing::ShareHolder,
    speed::SlowdownRatio,
    units::{ByteCount, Millis, RequestsPerSecond, Time, Tokens},
    watch::StorePosition,
};
use serde::Serialize;
use serde_with::{serde_as, DisplayFromStr};
use std::sync::Arc;

/// What a change of an upstream's state is based on.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct UpstreamSource {
    /// Position of the store after the change, if it was read there.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store: Option<StorePosition>,
    /// The peer that reported the change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reported_by: Option<VmId>,
}

impl UpstreamSource {
    /// This daemon read the change from the store.
    pub(super) const fn read(position: StorePosition) -> Self {
        Self {
            store: Some(position),
            reported_by: None,
        }
    }
}

/// A decision, or a change in what the daemon knows.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum DispatchRecord {
    /// An upstream has begun or ceased to count as slow.
    UpstreamSpeed {
        /// The upstream.
        upstream: UpstreamId,
        /// How much slower it is than expected.
        #[serde_as(as = "DisplayFromStr")]
        slowdown: SlowdownRatio,
        /// Observed duration of the last answer, in ms.
        observed_ms: u64,
        /// Its expected duration, in ms.
        expected_ms: u64,
    },
    /// An extension message was dropped: it could not be decoded, or not be encoded.
    ExtensionDropped {
        /// The peer that sent it; none for an own message.
        #[serde(skip_serializing_if = "Option::is_none")]
        member: Option<VmId>,
        /// The reason.
        error: String,
    },
    /// A request was refused before it was complete: the memory budget has no room for it.
    MemoryRefused {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// Size of the body that the caller states, or what arrived of it if that is more.
        body_bytes: ByteCount,
        /// What the daemon held.
        held_bytes: ByteCount,
        /// What the daemon may hold.
        budget_bytes: ByteCount,
        /// `Retry-After` for the caller.
        retry_after_ms: Millis,
        /// Number of refusals before this one that have no line of their own.
        unreported_count: u64,
    },
    /// The limit of bytes of requests in flight at each upstream of a service was learned from one that terminated.
    UpstreamBytesLimit {
        /// The service.
        service: ServiceName,
        /// The limit over all daemons.
        limit_bytes: ByteCount,
        /// The upstream that terminated, if its termination was noticed here.
        #[serde(skip_serializing_if = "Option::is_none")]
        upstream: Option<UpstreamId>,
        /// The peer that reported the limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        reported_by: Option<VmId>,
    },
    /// A request was sent to an upstream.
    Sent {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The kind of the route.
        class: &'static str,
        /// The route.
        route: String,
        /// What the request has in common with its repeats.
        fingerprint: Fingerprint,
        /// The transmission.
        send: SendId,
        /// The upstream.
        upstream: UpstreamId,
        /// The upstream's failure domain.
        domain: FailureDomain,
        /// Number of this transmission among those of the call, from 1.
        try_count: u32,
        /// Number of other requests known to be in flight at the upstream.
        load_requests: usize,
        /// Requests a second that the upstream takes from all daemons, if it has a rate limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<RequestsPerSecond>,
        /// Predicted time to the first event.
        predicted_ms: Option<Millis>,
        /// Number of helper engines that prefill parts of the prompt.
        helpers_len: usize,
        /// The helper engines.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        helpers: Vec<UpstreamId>,
        /// Time left for the complete answer.
        left_ms: Millis,
        /// Version of the catalog in use.
        catalog: CatalogVersion,
        /// Time since the daemon's knowledge of operators' writes was current.
        knowledge_ms: Millis,
        /// Position of the store up to which operators' writes are known.
        #[serde_as(as = "Option<DisplayFromStr>")]
        store: Option<StorePosition>,
    },
    /// A request with a stated prefix was sent. Only if choices regard prefixes.
    PrefixUsed {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The transmission.
        send: SendId,
        /// The upstream.
        upstream: UpstreamId,
        /// Tokens in the stated parts of the prompt.
        prefix_tokens: Tokens,
        /// Tokens of the leading parts that the upstream is believed to hold.
        held_tokens: Tokens,
        /// Probability that it holds them, in percent.
        probability_percent: u32,
        /// Prefill time that is expected to be saved.
        saved_ms: Millis,
    },
    /// The first event of a response showed whether the upstream held a prefix.
    PrefixChecked {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The transmission.
        send: SendId,
        /// Whether the upstream held it.
        is_hit: bool,
        /// Tokens that it was believed to hold.
        held_tokens: Tokens,
        /// Tokens of other prefixes that it is no longer believed to hold.
        dropped_tokens: Tokens,
    },
    /// An upstream is no longer believed to hold prefixes.
    PrefixesDropped {
        /// The upstream.
        upstream: UpstreamId,
        /// The reason: `gone` or `broken_off`.
        reason: &'static str,
        /// Tokens of the prefixes that no request used.
        dropped_tokens: Tokens,
    },
    /// A request was queued because no upstream has room.
    Waits {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The service.
        service: ServiceName,
        /// Number of queued requests, including this one.
        waiting_len: usize,
    },
    /// A request's workspace is over its share of a service while others lack capacity.
    OverShare {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The service.
        service: ServiceName,
        /// The workspace.
        #[serde_as(as = "DisplayFromStr")]
        holder: ShareHolder,
        /// Decayed work that the workspace was served, over all daemons.
        work_ms: Millis,
        /// Decayed work that its share allows.
        share_ms: Millis,
        /// Time until its share allows the request.
        wait_ms: Millis,
        /// The next step: `wait` or `refuse`.
        next: &'static str,
    },
    /// A transmission ended without a complete answer.
    SendFailed {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The transmission.
        send: SendId,
        /// The upstream.
        upstream: UpstreamId,
        /// The outcome.
        #[serde(flatten)]
        end: SendOutcome,
        /// The next step: `send_again`, `pass_failure`, `give_up` or `wait`.
        next: &'static str,
        /// Why the request is sent again, or is not.
        retry: RetryVerdict,
        /// The retry budget of the service before that, if it was asked.
        #[serde(skip_serializing_if = "Option::is_none")]
        budget: Option<BudgetState>,
        /// Time since the request was sent.
        after_ms: Millis,
    },
    /// A retry that was granted waited until the budget had no room for it any more.
    RetryWithdrawn {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The service.
        service: ServiceName,
        /// The retry budget.
        budget: BudgetState,
    },
    /// An order about a reservation failed, or its result is unknown.
    OrderFailed {
        /// The reservation; its name begins with the request id.
        ticket: Arc<str>,
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        #[serde(flatten)]
        kind: OrderKind,
        /// The outcome.
        end: OrderOutcome,
    },
    /// A request was refused or abandoned.
    Refused {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The route, if one was found.
        route: Option<String>,
        /// The kind of the route, if one was found.
        class: Option<&'static str>,
        /// The reason.
        reason: RefusalReason,
        /// The fingerprint for which it is refused, if that is the reason.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<Fingerprint>,
        /// Whether an upstream may have run the request.
        may_have_run: bool,
        /// `Retry-After` for the caller.
        retry_after_ms: Option<Millis>,
        /// Number of transmissions of the request.
        tries_count: u32,
        /// Number of upstreams of the service that are in service.
        usable_len: usize,
        /// Version of the catalog in use.
        catalog: Option<CatalogVersion>,
        /// Time since the daemon's knowledge of operators' writes was current.
        knowledge_ms: Option<Millis>,
        /// Position of the store up to which operators' writes are known.
        #[serde_as(as = "Option<DisplayFromStr>")]
        store: Option<StorePosition>,
        /// Age of the request.
        age_ms: Millis,
    },
    /// A caller that is refused for lack of capacity is told when to return.
    ReturnPromised {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// What the request has in common with its repeats.
        fingerprint: Fingerprint,
        /// The service.
        service: ServiceName,
        /// `Retry-After` for the caller.
        retry_after_ms: Millis,
        /// Whether a slot is kept for it. Otherwise it would not honour the time, or could not be served then.
        keeps_slot: bool,
        /// Whether it had returned at a promised time before.
        is_again: bool,
    },
    /// A caller that was refused for lack of capacity has returned.
    Returned {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// What the request has in common with the refused one.
        fingerprint: Fingerprint,
        /// Time until it may return, if it is early and refused for that.
        #[serde(skip_serializing_if = "Option::is_none")]
        early_ms: Option<Millis>,
    },
    /// A request ended with the answer of an upstream.
    Answered {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The kind of the route.
        class: &'static str,
        /// The upstream.
        upstream: UpstreamId,
        /// Time from the request's arrival to the first event or the complete answer.
        first_ms: Option<Millis>,
        /// Predicted time from sending to the first event.
        predicted_ms: Option<Millis>,
        /// Age of the request.
        age_ms: Millis,
        /// Number of transmissions of the request.
        tries_count: u32,
        /// HTTP status of the failure, if one was relayed.
        status: Option<u16>,
        /// Longest gap between two events, if the answer was streamed with more than one.
        #[serde(skip_serializing_if = "Option::is_none")]
        longest_gap_ms: Option<Millis>,
        /// Whether that gap is within the route's gap target.
        #[serde(skip_serializing_if = "Option::is_none")]
        gap_kept: Option<bool>,
        /// Why the answer was late, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        late: Option<LateCause>,
    },
    /// A caller left before its answer was complete.
    CallerLeft {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The kind of the route.
        class: &'static str,
        /// Age of the request.
        age_ms: Millis,
        /// Whether the request was in flight at an upstream.
        sent: bool,
    },
    /// A catalog was put into use.
    Catalog {
        /// The catalog's version.
        version: CatalogVersion,
    },
    /// A catalog was rejected, and the previous one stays in use.
    CatalogRefused {
        /// The catalog's version.
        version: CatalogVersion,
        /// The reason.
        reason: String,
    },
    /// The store has an older catalog since it was restored, and the one in use stays.
    CatalogHeld {
        /// Version of the catalog in use.
        version: CatalogVersion,
        /// Version of the catalog in the store.
        stored_version: CatalogVersion,
        /// Position of the store.
        #[serde_as(as = "DisplayFromStr")]
        store: StorePosition,
    },
    /// The restored store no longer lists a failure domain as out of service, and it stays out of
    /// service until operators have had time to write that again.
    DomainHeld {
        /// The failure domain.
        domain: FailureDomain,
        /// How long it stays out of service.
        for_ms: Millis,
    },
    /// The store was restored from an older copy.
    StoreRestored {
        /// What was read: the topic's name.
        dependency: &'static str,
        /// Position of the store.
        #[serde_as(as = "DisplayFromStr")]
        store: StorePosition,
        /// Version of the catalog in use.
        catalog: Option<CatalogVersion>,
    },
    /// An upstream said that it is about to stop.
    UpstreamLeaving {
        /// The request id that the caller chose, if this daemon got the notice with an answer to a
        /// request.
        #[serde(skip_serializing_if = "Option::is_none")]
        request: Option<Arc<str>>,
        /// The upstream.
        upstream: UpstreamId,
        /// The peer that got the notice.
        #[serde(skip_serializing_if = "Option::is_none")]
        reported_by: Option<VmId>,
    },
    /// An upstream turned a request away and asked for a pause.
    UpstreamBackoff {
        /// The request id that the caller chose, if it was a request of this daemon.
        #[serde(skip_serializing_if = "Option::is_none")]
        request: Option<Arc<str>>,
        /// The upstream.
        upstream: UpstreamId,
        /// Time until the upstream wants requests again.
        for_ms: Millis,
        /// The peer whose request was turned away.
        #[serde(skip_serializing_if = "Option::is_none")]
        reported_by: Option<VmId>,
    },
    /// An upstream stated a rate limit or another one, or no longer states one.
    UpstreamRateLimit {
        /// The request id that the caller chose, if it was an answer to a request.
        #[serde(skip_serializing_if = "Option::is_none")]
        request: Option<Arc<str>>,
        /// The upstream.
        upstream: UpstreamId,
        /// Requests a second that it takes from all daemons together; none if it has no limit.
        per_s: Option<RequestsPerSecond>,
        /// The peer that got the answer.
        #[serde(skip_serializing_if = "Option::is_none")]
        reported_by: Option<VmId>,
    },
    /// The process of an upstream ended while it had requests of this daemon.
    UpstreamCrashed {
        /// The upstream.
        upstream: UpstreamId,
        /// Fingerprints of the requests in flight there that had got no event, without duplicates.
        fingerprints: Vec<Fingerprint>,
    },
    /// Requests with a fingerprint are refused from now on: upstreams ended under it.
    FingerprintQuarantined {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// The peer whose report led to it.
        #[serde(skip_serializing_if = "Option::is_none")]
        reported_by: Option<VmId>,
    },
    /// An answer showed that a fingerprint is not to blame for the crashes that it was in flight at.
    FingerprintCleared {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// The peer that got the answer.
        #[serde(skip_serializing_if = "Option::is_none")]
        reported_by: Option<VmId>,
    },
    /// A failure domain was taken out of service or returned to it.
    Domain {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether the failure domain is out of service.
        out: bool,
    },
    /// The state of an upstream, as known here, changed.
    Upstream {
        /// The upstream.
        upstream: UpstreamId,
        /// The new state: `ready`, `draining`, `rests`, `replaced`, `lapsed` or `gone`.
        state: &'static str,
        /// What the change is based on.
        #[serde(flatten)]
        source: UpstreamSource,
    },
    /// A connection to an upstream was not opened on the preferred path.
    PathsTried {
        /// The request that it was opened for, if it was a caller's.
        #[serde(skip_serializing_if = "Option::is_none")]
        request: Option<Arc<str>>,
        /// The upstream.
        upstream: UpstreamId,
        /// The attempts.
        attempts: PathAttempts,
    },
    /// A transmission goes by way of a peer.
    Relayed {
        /// The request id that the caller chose.
        request: Arc<str>,
        /// The transmission.
        send: SendId,
        /// The upstream.
        upstream: UpstreamId,
        /// The peer's VM.
        relay: VmId,
    },
    /// The own links to a failure domain are lost, or back.
    Links {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether they are lost.
        lost: bool,
    },
    /// A peer asked for a connection to an upstream.
    RelayRequested {
        /// The peer's VM.
        peer: VmId,
        /// The upstream.
        upstream: UpstreamId,
        /// Why the request was refused, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        refusal: Option<RelayRefusal>,
        /// Connections that are passed on now, this one included.
        relayed_len: usize,
    },
    /// A dependency became unreachable or reachable again.
    Dependency {
        /// The dependency's name.
        dependency: &'static str,
        /// Whether the dependency answers.
        reachable: bool,
        /// The error, or what was read.
        detail: String,
        /// Age of the knowledge of the dependency's data.
        knowledge_ms: Option<Millis>,
    },
    /// A peer connected or disconnected.
    Peer {
        /// The peer's VM.
        member: VmId,
        /// Whether the peer is connected.
        connected: bool,
    },
    /// A freshness report answers a request that this process has not sent. It shows nothing of how current the
    /// own knowledge is.
    FreshnessReportIgnored {
        /// The peer that sent it.
        member: VmId,
        /// The clock of the unknown request.
        #[serde_as(as = "DisplayFromStr")]
        asked_at: Time,
        /// Time since the daemon's knowledge of operators' writes was current.
        #[serde(skip_serializing_if = "Option::is_none")]
        knowledge_ms: Option<Millis>,
    },
    /// A row of the store can't be parsed, or belongs to another topic.
    Unreadable {
        /// The row's key.
        key: String,
        /// The reason.
        reason: String,
    },
    /// The daemon's readiness changed.
    Ready {
        /// Whether the daemon is ready for new callers.
        ready: bool,
        /// Why the daemon is not ready.
        reason: Option<&'static str>,
    },
    /// The settings file was reloaded.
    Reloaded {
        /// Whether any setting that can change at run time changed.
        changed: bool,
    },
    /// The daemon was asked to stop.
    Stopping {
        /// Number of open requests.
        open_requests: usize,
        /// Time until the process exits.
        grace_ms: Millis,
    },
}
