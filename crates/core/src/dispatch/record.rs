//! Log records of the dispatcher's decisions.

use super::{OrderKind, OrderOutcome, RefusalReason, SendOutcome};
use crate::{
    ids::{CatalogVersion, FailureDomain, SendId, ServiceName, UpstreamId, VmId},
    units::Millis,
};
use serde::Serialize;
use std::sync::Arc;

/// One decision, or one change of what the daemon believes.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum DispatchRecord {
    /// A request was sent to an upstream.
    Sent {
        /// The caller's id of the request.
        request: Arc<str>,
        /// The route's kind.
        class: &'static str,
        /// The route.
        route: String,
        /// The transmission.
        send: SendId,
        /// The upstream.
        upstream: UpstreamId,
        /// Its failure domain.
        domain: FailureDomain,
        /// Number of the transmission among the call's, from 1.
        try_count: u32,
        /// Requests known to be on the upstream before.
        load_requests: usize,
        /// Predicted time to the first event.
        predicted_ms: Option<Millis>,
        /// Engines that read parts of the prompt.
        helpers_len: usize,
        /// Time left for the answer.
        left_ms: Millis,
        /// Catalog in force.
        catalog: CatalogVersion,
        /// Age of what is known of the store.
        knowledge_ms: Millis,
    },
    /// No upstream has room: the request waits.
    Waits {
        /// The caller's id of the request.
        request: Arc<str>,
        /// The service.
        service: ServiceName,
        /// Requests that wait, this one included.
        waiting_len: usize,
    },
    /// A transmission ended otherwise than with a whole answer.
    SendFailed {
        /// The caller's id of the request.
        request: Arc<str>,
        /// The transmission.
        send: SendId,
        /// The upstream.
        upstream: UpstreamId,
        /// How.
        #[serde(flatten)]
        end: SendOutcome,
        /// What follows.
        next: &'static str,
        /// Time since it was sent.
        after_ms: Millis,
    },
    /// An order about a reservation was not carried out, as far as is known.
    OrderFailed {
        /// The reservation, named by the request.
        ticket: Arc<str>,
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        #[serde(flatten)]
        kind: OrderKind,
        /// How it ended.
        end: OrderOutcome,
    },
    /// A request was refused or given up.
    Refused {
        /// The caller's id of the request.
        request: Arc<str>,
        /// The route, where one was found.
        route: Option<String>,
        /// The route's kind, where one was found.
        class: Option<&'static str>,
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        may_have_run: bool,
        /// When the caller may come back.
        retry_after_ms: Option<Millis>,
        /// Upstreams it was sent to.
        tries_count: u32,
        /// Upstreams of the service that may get work.
        usable_len: usize,
        /// Catalog in force.
        catalog: Option<CatalogVersion>,
        /// Age of what is known of the store.
        knowledge_ms: Option<Millis>,
        /// Age of the request.
        age_ms: Millis,
    },
    /// A request ended with an upstream's answer.
    Answered {
        /// The caller's id of the request.
        request: Arc<str>,
        /// The route's kind.
        class: &'static str,
        /// The upstream.
        upstream: UpstreamId,
        /// Time to the first event or the whole answer.
        first_ms: Option<Millis>,
        /// What was predicted for it.
        predicted_ms: Option<Millis>,
        /// Age of the request.
        age_ms: Millis,
        /// Upstreams it was sent to.
        tries_count: u32,
        /// Status of a failure that was passed on.
        status: Option<u16>,
    },
    /// A caller left before its answer was whole.
    CallerLeft {
        /// The caller's id of the request.
        request: Arc<str>,
        /// The route's kind.
        class: &'static str,
        /// Age of the request.
        age_ms: Millis,
        /// Whether it was at an upstream.
        sent: bool,
    },
    /// A catalog came into force.
    Catalog {
        /// Its version.
        version: CatalogVersion,
    },
    /// A catalog was not taken over.
    CatalogRefused {
        /// Its version.
        version: CatalogVersion,
        /// Why.
        reason: String,
    },
    /// A failure domain left or rejoined service.
    Domain {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether it is out.
        out: bool,
    },
    /// What is believed of an upstream changed.
    Upstream {
        /// The upstream.
        upstream: UpstreamId,
        /// What.
        state: &'static str,
    },
    /// A dependency was lost or regained.
    Dependency {
        /// Which.
        dependency: &'static str,
        /// Whether it answers.
        reachable: bool,
        /// What it said.
        detail: String,
        /// Age of what is known of it.
        knowledge_ms: Option<Millis>,
    },
    /// A peer came or went.
    Peer {
        /// Its VM.
        member: VmId,
        /// Whether it is connected.
        connected: bool,
    },
    /// A row of the store makes no sense.
    Unreadable {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
    /// Readiness changed.
    Ready {
        /// Whether new callers are taken.
        ready: bool,
        /// What stands against it.
        reason: Option<&'static str>,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether any that can change at run time did.
        changed: bool,
    },
    /// The daemon was asked to stop.
    Stopping {
        /// Requests that are open.
        open_requests: usize,
        /// Time until its end.
        grace_ms: Millis,
    },
}
