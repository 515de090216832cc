//! One open request: where it is and what is known of it.

use super::EntrySettings;
use crate::{
    ids::{AttemptId, AttemptNumber, ModelVersion, UpstreamId, VmId},
    message::GrantOffer,
    request::{CallTarget, LengthClass, Outcome, Refusal, RefusalCode, RequestSpec},
    units::{Millis, Time, Tokens},
};

/// Where an open request is. Each state ends by a timer at the latest.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// Its key is being claimed; the deadline is the timer.
    Claiming,
    /// An owner was asked for a grant.
    RequestingGrant(PendingGrant),
    /// It waits in an owner's queue, and asks again when the timer is due.
    Queued(PendingGrant),
    /// No owner could be asked just now; all are asked anew when the timer is due.
    BackingOff { until: Time },
    /// An attempt runs at an upstream.
    Running(RunningAttempt),
}

/// A question to an owner.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingGrant {
    pub(super) attempt: AttemptId,
    pub(super) owner: VmId,
    pub(super) model: Option<ModelVersion>,
    pub(super) resume_at: Option<UpstreamId>,
    pub(super) reason: &'static str,
    /// When the wait for the answer, or for the place in the queue, is looked at again.
    pub(super) until: Time,
}

/// An attempt at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RunningAttempt {
    pub(super) attempt: AttemptId,
    pub(super) owner: VmId,
    pub(super) model: Option<ModelVersion>,
    pub(super) offer: GrantOffer,
    pub(super) started: Time,
    pub(super) start_offset: Tokens,
    pub(super) first_token: Option<Time>,
    /// When it counts as hanging, if nothing comes before.
    pub(super) timeout_at: Option<Time>,
}

/// A grant that is kept until its stream is resumed or given up.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RetainedGrant {
    pub(super) run: RunningAttempt,
    pub(super) ended: Time,
}

/// An open request.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) spec: RequestSpec,
    pub(super) arrived: Time,
    /// The caller's deadline.
    pub(super) deadline: Time,
    /// When it is refused at the latest: a little before the caller's deadline.
    pub(super) refuse_by: Time,
    pub(super) phase: Phase,
    pub(super) next_attempt: AttemptNumber,
    /// Attempts that went to an upstream.
    pub(super) started_attempts: u32,
    /// Whether any attempt that ended may have run at an upstream.
    pub(super) may_have_run: bool,
    /// Tokens that the caller has.
    pub(super) delivered: Tokens,
    /// The version whose tokens the caller has.
    pub(super) pinned_version: Option<ModelVersion>,
    /// Upstreams that failed this request.
    pub(super) avoid: Vec<UpstreamId>,
    /// Owners asked in vain since the last attempt or pause.
    pub(super) tried: Vec<VmId>,
    /// Owner named by the last denial.
    pub(super) better: Option<VmId>,
    /// Whether an owner said that it can grant soon, or did not answer.
    pub(super) retry_worthwhile: bool,
    /// When a busy owner said to come back.
    pub(super) retry_after_hint: Option<Millis>,
    /// Since when no owner of a fitting upstream is known.
    pub(super) unreachable_since: Option<Time>,
    /// Pauses so far.
    pub(super) backoffs_count: u32,
    /// Largest prompt that fits, where an owner said that this one does not.
    pub(super) largest_fitting_prompt: Option<Tokens>,
    /// Whether an owner with an engine that can hold it was only busy.
    pub(super) fits_busy_engine: bool,
    /// The broken stream that is being resumed.
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
            better: None,
            retry_worthwhile: false,
            retry_after_hint: None,
            unreachable_since: None,
            backoffs_count: 0,
            largest_fitting_prompt: None,
            fits_busy_engine: false,
            retained: None,
        }
    }

    /// When something is to be done at the latest.
    pub(super) fn due(&self) -> Time {
        let phase = match &self.phase {
            Phase::Claiming => None,
            Phase::RequestingGrant(pending) | Phase::Queued(pending) => Some(pending.until),
            Phase::BackingOff { until } => Some(*until),
            Phase::Running(run) => run.timeout_at,
        };
        phase.map_or(self.refuse_by, |at| at.min(self.refuse_by))
    }

    /// Time left until it is refused.
    pub(super) fn remaining(&self, now: Time) -> Millis {
        self.refuse_by.since(now)
    }

    /// A fresh attempt of this request.
    pub(super) fn new_attempt(&mut self) -> AttemptId {
        let number = self.next_attempt;
        self.next_attempt = number.next();
        AttemptId {
            request: self.spec.id,
            number,
        }
    }

    /// The service or model whose retry budget it uses.
    pub(super) fn service(&self) -> &str {
        match &self.spec.target {
            CallTarget::Model(call) => call.model.as_str(),
            CallTarget::Service(call) => call.service.as_str(),
        }
    }

    /// Whether it may run again although it may have run.
    pub(super) fn is_repeatable(&self) -> bool {
        match &self.spec.target {
            CallTarget::Model(_) => true,
            CallTarget::Service(call) => call.idempotent && call.key.is_none(),
        }
    }

    /// Whether it is a call of a model.
    pub(super) const fn is_model(&self) -> bool {
        matches!(self.spec.target, CallTarget::Model(_))
    }

    /// Whether its key is held until its result is known.
    pub(super) const fn has_key(&self) -> bool {
        match &self.spec.target {
            CallTarget::Model(_) => false,
            CallTarget::Service(call) => call.key.is_some(),
        }
    }

    /// Prompt length and class, for the log.
    pub(super) fn length(&self) -> (Tokens, LengthClass) {
        match &self.spec.target {
            CallTarget::Model(call) => (call.prompt_tokens, call.class()),
            CallTarget::Service(_) => (Tokens::ZERO, LengthClass::Short),
        }
    }

    /// The refusal with the time to come back, where repeating the request can do no harm.
    pub(super) fn with_retry_after_if_safe(&self, refusal: Refusal, span: Millis) -> Refusal {
        if refusal.outcome == Outcome::NotRun || self.is_repeatable() {
            return refusal.retry_after(span);
        }
        refusal
    }

    /// A refusal with the outcome that is proved.
    pub(super) fn refusal(&self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        self.with_proven_outcome(Refusal::not_run(code, message))
    }

    /// The refusal with `unknown` as outcome where it may have run.
    pub(super) fn with_proven_outcome(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run || self.retained.is_some() || matches!(self.phase, Phase::Running(_)) {
            refusal.outcome = Outcome::Unknown;
        }
        refusal
    }
}
