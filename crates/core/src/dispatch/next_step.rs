//! Decides what follows a failed transmission.

use super::{
    budget::{AllowanceShare, BudgetState},
    dispatcher::{Dispatcher, OpenCall, Out, Sending},
    promises_not_run,
    retry::SERVER_FAILURE_STATUS,
    DispatchRecord, RefusalReason, SendOutcome,
};
use crate::{
    ids::{CallId, ServiceName},
    units::{Millis, Time},
};
use serde::Serialize;

/// Maximum number of transmissions of one call, including those that reached no upstream.
const SENDS_MAX_COUNT: u32 = 4;

/// A call with less time left than this is not sent again.
const RETRY_REMAINING_MIN_MS: Millis = Millis::new(50);

/// Next step after a failed transmission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NextStep {
    SendAgain,
    PassFailure,
    /// The transmission goes on.
    Wait,
    GiveUp(RefusalReason),
}

impl NextStep {
    const fn name(self) -> &'static str {
        match self {
            Self::SendAgain => "send_again",
            Self::PassFailure => "pass_failure",
            Self::Wait => "wait",
            Self::GiveUp(_) => "give_up",
        }
    }
}

/// Why a failed transmission is followed by another one, or is not.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryVerdict {
    /// It is, and counts against the retry budget.
    Granted,
    /// It is, and does not count, because nothing was sent.
    Free,
    /// The answer would be the same.
    Unhelpful,
    /// The request may have run, and may not run once more.
    NotRepeatable,
    /// Too little time is left.
    NoTime,
    /// The call was sent too often.
    NoTries,
    /// The retry budget of the service is used up.
    NoBudget,
    /// No other upstream can take the call now.
    NoRoom,
}

impl RetryVerdict {
    /// Name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Free => "free",
            Self::Unhelpful => "unhelpful",
            Self::NotRepeatable => "not_repeatable",
            Self::NoTime => "no_time",
            Self::NoTries => "no_tries",
            Self::NoBudget => "no_budget",
            Self::NoRoom => "no_room",
        }
    }
}

/// The next step and what decided it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decision {
    pub(super) next: NextStep,
    pub(super) verdict: RetryVerdict,
    /// The retry budget before the decision, if it was asked.
    pub(super) budget: Option<BudgetState>,
}

impl Decision {
    /// The transmission goes on.
    pub(super) const fn wait(verdict: RetryVerdict) -> Self {
        Self {
            next: NextStep::Wait,
            verdict,
            budget: None,
        }
    }
}

impl Dispatcher {
    /// Decides what follows a failed transmission. A retry that is granted counts against the budget when it is sent.
    pub(super) fn next_step(&mut self, now: Time, call: CallId, end: &SendOutcome) -> Decision {
        let Some(open) = self.calls.get(&call) else {
            return Decision {
                next: NextStep::GiveUp(RefusalReason::UpstreamFailed),
                verdict: RetryVerdict::Unhelpful,
                budget: None,
            };
        };
        let otherwise = without_retry(open, end);
        let (verdict, budget) = match obstacle(now, open, end) {
            Some(verdict) => (verdict, None),
            // A request that reached no upstream adds no load there, so its retry costs no budget.
            None if !open.has_arrived && !end.may_have_arrived() => (RetryVerdict::Free, None),
            None => {
                let service = open.service.name.clone();
                let state = self.retry_budget_state(now, &service);
                if state.left_len > 0 {
                    (RetryVerdict::Granted, Some(state))
                } else {
                    (RetryVerdict::NoBudget, Some(state))
                }
            }
        };
        if let (RetryVerdict::Granted, Some(open)) = (verdict, self.calls.get_mut(&call)) {
            open.is_retry_granted = true;
        }
        let next = match verdict {
            RetryVerdict::Granted | RetryVerdict::Free => NextStep::SendAgain,
            _ => otherwise,
        };
        Decision {
            next,
            verdict,
            budget,
        }
    }

    /// The retry budget of a service, beside the retries that wait for an upstream.
    fn retry_budget_state(&mut self, now: Time, service: &ServiceName) -> BudgetState {
        let waits = |open: &&OpenCall| open.is_retry_granted && open.service.name == *service;
        let waiting_len = self.calls.values().filter(waits).count();
        let share = self.allowance_share(now);
        self.budget.state(now, service, share, waiting_len)
    }

    /// This daemon's part of the allowance of retries; none if it may use none.
    fn allowance_share(&self, now: Time) -> Option<AllowanceShare> {
        Some(AllowanceShare {
            daemons_len: self.roster.len(),
            since: self.roster.share_since(now)?,
        })
    }

    /// Counts a call that is about to be sent, if an upstream may have got it before. If the budget has no room for it any
    /// more, the call ends, and the result is false: retries that waited must not go out beside those of a later window.
    pub(super) fn take_granted_retry(&mut self, out: &mut Out<'_>, call: CallId) -> bool {
        let share = self.allowance_share(out.now);
        let Some(open) = self.calls.get_mut(&call) else {
            return false;
        };
        open.is_retry_granted = false;
        if !open.has_arrived || self.budget.take(out.now, &open.service.name, share) {
            return true;
        }
        let reason = refusal_reason(open);
        let service = open.service.name.clone();
        let budget = self.retry_budget_state(out.now, &service);
        out.log(DispatchRecord::RetryWithdrawn {
            request: self.request_id(call),
            service,
            budget,
        });
        self.give_up(out, call, reason);
        false
    }

    pub(super) fn log_send_failed(
        &self,
        out: &mut Out<'_>,
        call: CallId,
        sending: &Sending,
        end: &SendOutcome,
        decision: Decision,
    ) {
        out.log(DispatchRecord::SendFailed {
            request: self.request_id(call),
            send: sending.send,
            upstream: sending.upstream.clone(),
            end: end.clone(),
            next: decision.next.name(),
            retry: decision.verdict,
            budget: decision.budget,
            after_ms: out.now.since(sending.sent_at),
        });
    }
}

/// The next step if the call is not sent again.
fn without_retry(open: &OpenCall, end: &SendOutcome) -> NextStep {
    match end {
        SendOutcome::Failed { not_run: true, .. }
        | SendOutcome::NotSent { .. }
        | SendOutcome::Busy => NextStep::GiveUp(refusal_reason(open)),
        SendOutcome::Failed { .. } if open.first_at.is_some() => {
            NextStep::GiveUp(RefusalReason::UpstreamFailed)
        }
        // The request may have run, and the status would say that it has not.
        SendOutcome::Failed { status, .. }
            if promises_not_run(*status) && !open.route.kind.repeatable() =>
        {
            NextStep::GiveUp(RefusalReason::UpstreamFailed)
        }
        SendOutcome::Failed { .. } => NextStep::PassFailure,
        SendOutcome::Unproven { .. } | SendOutcome::Lost { .. } | SendOutcome::Delivered => {
            NextStep::GiveUp(RefusalReason::UpstreamFailed)
        }
    }
}

/// Why a call is refused that is not sent again.
const fn refusal_reason(open: &OpenCall) -> RefusalReason {
    if open.may_have_run {
        RefusalReason::UpstreamFailed
    } else {
        RefusalReason::UpstreamsRefused
    }
}

/// Why a call can't be sent again, whatever the budget; none if it can.
fn obstacle(now: Time, open: &OpenCall, end: &SendOutcome) -> Option<RetryVerdict> {
    let may_help = match end {
        SendOutcome::Failed {
            status, not_run, ..
        } => *not_run || *status >= SERVER_FAILURE_STATUS,
        _ => true,
    };
    let is_repeatable = !end.may_have_run()
        || (open.route.kind.repeatable() && open.reached_count < open.route.max_attempts);
    if !may_help {
        Some(RetryVerdict::Unhelpful)
    } else if !is_repeatable {
        Some(RetryVerdict::NotRepeatable)
    } else if open.left_ms(now) <= RETRY_REMAINING_MIN_MS {
        Some(RetryVerdict::NoTime)
    } else if open.tries_count >= SENDS_MAX_COUNT {
        Some(RetryVerdict::NoTries)
    } else {
        None
    }
}
