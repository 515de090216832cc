//! Decides what follows a failed transmission.

use super::{
    budget::BudgetState,
    dispatcher::{Dispatcher, OpenCall, Out, Sending},
    retry::SERVER_FAILURE_STATUS,
    DispatchRecord, RefusalReason, SendOutcome,
};
use crate::{
    ids::CallId,
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
    /// Decides what follows a failed transmission, and takes a retry from the budget if it is sent again.
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
            None if matches!(end, SendOutcome::NotSent { .. } | SendOutcome::Busy) => {
                (RetryVerdict::Free, None)
            }
            None => {
                let service = open.service.name.clone();
                let sharing_daemons_len = self.sharing_daemons_len(now);
                let state = self.budget.state(now, &service, sharing_daemons_len);
                if self.budget.take(now, &service, sharing_daemons_len) {
                    (RetryVerdict::Granted, Some(state))
                } else {
                    (RetryVerdict::NoBudget, Some(state))
                }
            }
        };
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
        | SendOutcome::Busy => NextStep::GiveUp(if open.may_have_run {
            RefusalReason::UpstreamFailed
        } else {
            RefusalReason::UpstreamsRefused
        }),
        SendOutcome::Failed { .. } if open.first_at.is_some() => {
            NextStep::GiveUp(RefusalReason::UpstreamFailed)
        }
        SendOutcome::Failed { .. } => NextStep::PassFailure,
        SendOutcome::Lost { .. } | SendOutcome::Delivered => {
            NextStep::GiveUp(RefusalReason::UpstreamFailed)
        }
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
