//! State of one open request.

use super::EntrySettings;
use crate::{
    ids::{AttemptId, AttemptNumber, ModelVersion, UpstreamId, VmId},
    message::GrantOffer,
    request::{CallTarget, LengthClass, Outcome, Refusal, RefusalCode, RequestSpec},
    units::{Millis, Time, Tokens},
};

/// Phase of an open request. A timer bounds every phase.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The idempotency key is being claimed; only the request's deadline bounds this phase.
    Claiming,
    /// A grant request was sent to an owner and is not answered yet.
    RequestingGrant(PendingGrant),
    /// The request waits in an owner's queue; the grant request is sent again when its timer
    /// expires.
    Queued(PendingGrant),
    /// No owner can be asked now; all owners become candidates again at `until`.
    BackingOff { until: Time },
    /// An attempt is running at an upstream.
    Running(RunningAttempt),
}

/// A grant request that an owner has not granted or denied yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingGrant {
    pub(super) attempt: AttemptId,
    pub(super) owner: VmId,
    pub(super) model: Option<ModelVersion>,
    pub(super) resume_at: Option<UpstreamId>,
    pub(super) reason: &'static str,
    /// When the answer times out, or when the queued grant request is sent again.
    pub(super) until: Time,
}

/// A granted attempt that was started at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RunningAttempt {
    pub(super) attempt: AttemptId,
    pub(super) owner: VmId,
    pub(super) model: Option<ModelVersion>,
    pub(super) offer: GrantOffer,
    pub(super) started: Time,
    pub(super) start_offset: Tokens,
    pub(super) first_token: Option<Time>,
    /// When the attempt times out unless the upstream makes progress before.
    pub(super) timeout_at: Option<Time>,
}

/// The grant of a broken stream, retained until the stream is resumed or the resume is abandoned.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RetainedGrant {
    pub(super) run: RunningAttempt,
    pub(super) ended: Time,
}

/// A request that has had no final response yet.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) spec: RequestSpec,
    pub(super) arrived: Time,
    /// The caller's deadline.
    pub(super) deadline: Time,
    /// When the request is refused if it is still open: the caller's deadline less the answer
    /// margin.
    pub(super) refuse_by: Time,
    pub(super) phase: Phase,
    pub(super) next_attempt: AttemptNumber,
    /// Number of attempts started at upstreams.
    pub(super) started_attempts: u32,
    /// Whether any ended attempt may have been executed by its upstream.
    pub(super) may_have_run: bool,
    /// Tokens delivered to the caller so far.
    pub(super) delivered: Tokens,
    /// Model version of the tokens delivered so far; later attempts must use the same version.
    pub(super) pinned_version: Option<ModelVersion>,
    /// Upstreams that failed or revoked this request; later attempts do not use them.
    pub(super) avoid: Vec<UpstreamId>,
    /// Owners that did not grant since the last attempt or backoff.
    pub(super) tried: Vec<VmId>,
    /// Alternative owner suggested by the last denial.
    pub(super) suggested_owner: Option<VmId>,
    /// Whether another round may succeed: an owner is learning, is no longer the owner, sent a
    /// stale grant, or did not answer.
    pub(super) retry_worthwhile: bool,
    /// Shortest retry delay that busy or learning owners have named in this round.
    pub(super) retry_after_hint: Option<Millis>,
    /// Since when no owner of a suitable upstream is known.
    pub(super) unreachable_since: Option<Time>,
    /// Number of backoffs so far.
    pub(super) backoffs_count: u32,
    /// Largest prompt that any owner can take, set once an owner has denied this prompt as too
    /// long.
    pub(super) largest_fitting_prompt: Option<Tokens>,
    /// Whether an owner denied the request as busy or learning, so that the prompt may fit one of
    /// its engines.
    pub(super) fits_busy_engine: bool,
    /// Grant of the broken stream that is to be resumed.
    pub(super) retained: Option<RetainedGrant>,
}

impl OpenRequest {
    pub(super) fn new(spec: RequestSpec, now: Time, settings: &EntrySettings) -> Self {
        let timeout = spec.timeout_ms.min(settings.max_timeout);
        let margin = settings.answer_margin.min(Millis::new(timeout.get() / 10));
        Self {
            deadline: now + timeout,
            refuse_by: now + timeout.saturating_sub(margin),
            spec,
            arrived: now,
            phase: Phase::Claiming,
            next_attempt: AttemptNumber::default(),
            started_attempts: 0,
            may_have_run: false,
            delivered: Tokens::ZERO,
            pinned_version: None,
            avoid: Vec::new(),
            tried: Vec::new(),
            suggested_owner: None,
            retry_worthwhile: false,
            retry_after_hint: None,
            unreachable_since: None,
            backoffs_count: 0,
            largest_fitting_prompt: None,
            fits_busy_engine: false,
            retained: None,
        }
    }

    /// When the request's timer expires: the end of its phase or `refuse_by`, whichever is earlier.
    pub(super) fn due(&self) -> Time {
        let phase = match &self.phase {
            Phase::Claiming => None,
            Phase::RequestingGrant(pending) | Phase::Queued(pending) => Some(pending.until),
            Phase::BackingOff { until } => Some(*until),
            Phase::Running(run) => run.timeout_at,
        };
        phase.map_or(self.refuse_by, |at| at.min(self.refuse_by))
    }

    /// Time left until the request is refused.
    pub(super) fn remaining(&self, now: Time) -> Millis {
        self.refuse_by.since(now)
    }

    /// Allocates the id of the next attempt.
    pub(super) fn new_attempt(&mut self) -> AttemptId {
        let number = self.next_attempt;
        self.next_attempt = number.next();
        AttemptId {
            request: self.spec.id,
            number,
        }
    }

    /// Name of the service or model whose retry budget applies.
    pub(super) fn target_name(&self) -> &str {
        match &self.spec.target {
            CallTarget::Model(call) => call.model.as_str(),
            CallTarget::Service(call) => call.service.as_str(),
        }
    }

    /// Whether the request may be executed again after an attempt with unknown outcome. A keyed
    /// call may not, because its key promises at most one execution.
    pub(super) fn is_repeatable(&self) -> bool {
        match &self.spec.target {
            CallTarget::Model(_) => true,
            CallTarget::Service(call) => call.idempotent && call.key.is_none(),
        }
    }

    pub(super) const fn is_model(&self) -> bool {
        matches!(self.spec.target, CallTarget::Model(_))
    }

    /// Whether the request carries an idempotency key, which is held until the result is known.
    pub(super) const fn has_key(&self) -> bool {
        match &self.spec.target {
            CallTarget::Model(_) => false,
            CallTarget::Service(call) => call.key.is_some(),
        }
    }

    /// Prompt length and its class, for the log.
    pub(super) fn length(&self) -> (Tokens, LengthClass) {
        match &self.spec.target {
            CallTarget::Model(call) => (call.prompt_tokens, call.class()),
            CallTarget::Service(_) => (Tokens::ZERO, LengthClass::Short),
        }
    }

    /// Adds a retry delay to a refusal if a retry is safe: the request did not run, or may run
    /// again.
    pub(super) fn with_retry_after_if_safe(&self, refusal: Refusal, span: Millis) -> Refusal {
        if refusal.outcome == Outcome::NotRun || self.is_repeatable() {
            return refusal.retry_after(span);
        }
        refusal
    }

    /// Builds a refusal whose outcome is `not_run` only if that is proven.
    pub(super) fn refusal(&self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        self.with_proven_outcome(Refusal::not_run(code, message))
    }

    /// Sets the outcome of a refusal to `unknown` if the request may have run.
    pub(super) fn with_proven_outcome(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run || self.retained.is_some() || matches!(self.phase, Phase::Running(_)) {
            refusal.outcome = Outcome::Unknown;
        }
        refusal
    }
}
